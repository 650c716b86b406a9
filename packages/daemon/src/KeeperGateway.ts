/**
 * Sends attempts to a shard's keeper (the daemon through which all requests to the shard's targets
 * go), locally or over gRPC, and serves attempts of other daemons.
 */
import type { Clock, Counters, Host } from '@cactusrun/core';
import type { AnswerStream } from '@cactusrun/protocol';
import type { Attempt, AttemptResult } from '@cactusrun/requests';
import { refusal } from '@cactusrun/requests';
import { attemptFrame, fromFields, priorityOf, requestClassOf } from './frames.js';
import type PeerClients from './PeerClients.js';
import { exchangeFrames, remainingUntil } from './sendFrames.js';
import type { FrameAnswer, ReceivedRequest } from './serveFrames.js';
import { serveFrames } from './serveFrames.js';
import type ShardRegistry from './ShardRegistry.js';
import StreamCount from './StreamCount.js';

export interface KeeperGatewayOptions {
  readonly self: string;
  readonly registry: ShardRegistry;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly counters: Counters;
}

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
/** Added to the stream's timeout, so that the keeper's own refusal arrives before it. */
const STREAM_GRACE_MILLISECONDS = 500;

export default class KeeperGateway {
  private readonly streams = new StreamCount();

  constructor(private readonly options: KeeperGatewayOptions) {}

  /** Number of attempts from other daemons that are running here. */
  public get inFlight(): number {
    return this.streams.size;
  }

  /** Runs an attempt at its shard's keeper. */
  public attempt(keeper: Host, attempt: Attempt): Promise<AttemptResult> {
    const { self, registry, counters } = this.options;
    if (keeper.name === self) {
      counters.add('attempts', 'local');
      return registry.run(attempt);
    }
    counters.add('attempts', 'remote');
    return this.attemptRemotely(keeper, attempt);
  }

  /** Serves an attempt from another daemon. */
  public serve(stream: AnswerStream): void {
    this.streams.add(stream);
    serveFrames(stream, (request) => this.runReceived(request));
  }

  private async attemptRemotely(keeper: Host, attempt: Attempt): Promise<AttemptResult> {
    const { clients, clock } = this.options;
    const client = clients.to(keeper);
    const connectionClass = attempt.body.isWhole ? 'short' : 'bulk';
    const remaining = remainingUntil(clock, attempt.deadline);
    if (attempt.signal.aborted) return refusal('caller-cancelled', '');
    if (
      !(await client.isReady(connectionClass, Math.min(remaining, CONNECT_TIMEOUT_MILLISECONDS)))
    ) {
      return refusal('keeper-unreachable', keeper.name);
    }
    return exchangeFrames({
      stream: client.dispatch(connectionClass, remaining + STREAM_GRACE_MILLISECONDS),
      first: attemptFrame(attempt, remainingUntil(clock, attempt.deadline)),
      body: attempt.body,
      signal: attempt.signal,
      clock,
      onProceed: () => attempt.onAdmitted?.(),
      lostReason: 'keeper-lost',
    });
  }

  private async runReceived(request: ReceivedRequest): Promise<FrameAnswer> {
    const { head, body, signal, proceed } = request;
    const requestClass = requestClassOf(head);
    // An idempotent request whose body is complete needs no notice of its admission.
    const needsProceed = requestClass === 'non-idempotent' || !body.isWhole;
    const attempt: Attempt = {
      service: head.service,
      shard: head.shard,
      method: head.method,
      path: head.path,
      headers: fromFields(head.headers),
      body,
      requestClass,
      priority: priorityOf(head),
      isDeposit: head.isDeposit,
      fingerprint: head.fingerprint,
      callerZone: head.callerZone,
      deadline: this.options.clock.now() + head.remainingMilliseconds,
      signal,
      ...(needsProceed ? { onAdmitted: proceed } : {}),
    };
    return this.options.registry.run(attempt);
  }
}
