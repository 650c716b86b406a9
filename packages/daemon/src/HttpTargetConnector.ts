/**
 * Sends requests to targets over HTTP. Node's own client is used because it reports whether a
 * connection is new and when it is ready: a request that fails before that has provably not run.
 * It also never retries a request by itself.
 */
import type { ClientRequest } from 'node:http';
import { Agent, request as httpRequest } from 'node:http';
import type { Clock, ConnectionAge, Target } from '@cactusrun/core';
import { CactusrunError, describeError, parseAddress } from '@cactusrun/core';
import type { Attempt, TargetConnector, TargetResult } from '@cactusrun/requests';
import { joinHeaders } from './headers.js';
import TargetExchange from './TargetExchange.js';

/** Shorter than the usual keep-alive timeout of servers, so that this side closes first. */
const IDLE_TIMEOUT_MILLISECONDS = 3_000;
const ZONE_HEADER = 'cactusrun-caller-zone';
const DEADLINE_HEADER = 'cactusrun-deadline-milliseconds';

export default class HttpTargetConnector implements TargetConnector {
  private readonly agents = new Map<string, Agent>();

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
      let request: ClientRequest;
      try {
        request = this.open(target, attempt);
      } catch (error) {
        resolve({ kind: 'connect-failed', detail: describeError(error) });
        return;
      }
      const settle = (result: TargetResult) => {
        if (result.kind === 'answered') this.lastAnswerTimes.set(target.address, this.clock.now());
        resolve(result);
      };
      const exchange = new TargetExchange(request, this.clock, settle, onSent);
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
  private open(target: Target, attempt: Attempt): ClientRequest {
    const address = parseAddress(target.address);
    if (address === undefined) {
      throw new CactusrunError('not an address', { step: 'connecting', peer: target.address });
    }
    const remaining = Math.max(1, Math.round(attempt.deadline - this.clock.now()));
    const headers = joinHeaders([
      ...attempt.headers,
      [ZONE_HEADER, attempt.callerZone],
      [DEADLINE_HEADER, String(remaining)],
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

  private agentOf(target: Target, service: string): Agent {
    const key = `${service} ${target.address}`;
    const known = this.agents.get(key);
    const maxSockets = this.connectionsOf(service);
    const agent =
      known ??
      new Agent({
        keepAlive: true,
        maxSockets,
        scheduling: 'lifo',
        timeout: IDLE_TIMEOUT_MILLISECONDS,
      });
    agent.maxSockets = maxSockets;
    this.agents.set(key, agent);
    return agent;
  }
}
