/**
 * Sends requests to targets over HTTP. Node's own client is used because it reports whether a
 * connection is new and when it is ready: a request that fails before that has provably not run.
 * It also never retries a request by itself.
 */
import { randomUUID } from 'node:crypto';
import type { ClientRequest } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { Clock, ConnectionAge, Target } from '@cactusrun/core';
import { CactusrunError, describeError, parseAddress } from '@cactusrun/core';
import type { Attempt, TargetConnector, TargetResult } from '@cactusrun/requests';
import { DEADLINE_HEADER, joinHeaders, REQUEST_ID_HEADER, ZONE_HEADER } from './headers.js';
import TargetAgent from './TargetAgent.js';
import TargetExchange from './TargetExchange.js';

export default class HttpTargetConnector implements TargetConnector {
  private readonly agents = new Map<string, TargetAgent>();

  private readonly lastAnswerTimes = new Map<string, number>();

  /** @param connectionsOf - maximum number of connections to each target of a service */
  constructor(
    private readonly clock: Clock,
    private readonly connectionsOf: (service: string) => number,
  ) {}

  public send(
    target: Target,
    attempt: Attempt,
    signal: AbortSignal,
    onSent: (connection: ConnectionAge) => void,
  ): Promise<TargetResult> {
    return new Promise((resolve) => {
      if (signal.aborted) {
        resolve({ kind: 'connect-failed', detail: 'cancelled before it was sent' });
        return;
      }
      const requestId = randomUUID();
      let request: ClientRequest;
      try {
        request = this.open(target, attempt, requestId);
      } catch (error) {
        resolve({ kind: 'connect-failed', detail: describeError(error) });
        return;
      }
      const settle = (result: TargetResult) => {
        if (result.kind === 'answered') this.lastAnswerTimes.set(target.address, this.clock.now());
        resolve(result);
      };
      const exchange = new TargetExchange({
        request,
        requestId,
        clock: this.clock,
        resolve: settle,
        onSent,
      });
      exchange.run(attempt, signal);
    });
  }

  /** Monotonic time at which the target at the address last answered. */
  public lastAnswerAt(address: string): number {
    return this.lastAnswerTimes.get(address) ?? Number.NEGATIVE_INFINITY;
  }

  /** Closes every connection. */
  public close(): void {
    this.agents.forEach((agent) => agent.destroy());
    this.agents.clear();
  }

  /** @throws Error when the target has no address, or when Node refuses to write the request */
  private open(target: Target, attempt: Attempt, requestId: string): ClientRequest {
    const address = parseAddress(target.address);
    if (address === undefined) {
      throw new CactusrunError('not an address', { step: 'connecting', peer: target.address });
    }
    const remaining = Math.max(1, Math.round(attempt.deadline - this.clock.now()));
    const headers = joinHeaders([
      ...attempt.headers,
      [ZONE_HEADER, attempt.callerZone],
      [DEADLINE_HEADER, String(remaining)],
      [REQUEST_ID_HEADER, requestId],
      ...(attempt.body.isWhole
        ? [['content-length', String(attempt.body.head.length)] as const]
        : []),
    ]);
    return httpRequest({
      ...address,
      method: attempt.method,
      path: attempt.path,
      headers,
      agent: this.agentOf(target, attempt.service),
    });
  }

  private agentOf(target: Target, service: string): TargetAgent {
    const key = `${service} ${target.address}`;
    const known = this.agents.get(key);
    const maxSockets = this.connectionsOf(service);
    const agent = known ?? new TargetAgent(maxSockets);
    agent.maxSockets = maxSockets;
    this.agents.set(key, agent);
    return agent;
  }
}
