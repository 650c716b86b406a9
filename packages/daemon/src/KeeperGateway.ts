/** Reaches the keeper of a shard, whether it is this daemon or another one. */
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

export interface KeeperGatewayOptions {
  readonly self: string;
  readonly registry: ShardRegistry;
  readonly clients: PeerClients;
  readonly clock: Clock;
  readonly counters: Counters;
}

const CONNECT_MILLISECONDS = 1_000;
/** Added to the time limit of a stream, so that the keeper's own word comes first. */
const GRACE_MILLISECONDS = 500;

export default class KeeperGateway {
  private running = 0;

  constructor(private readonly options: KeeperGatewayOptions) {}

  /** Requests of other daemons that run here now. */
  public get inFlight(): number {
    return this.running;
  }

  /** Sends an attempt to its shard's keeper; the result is the truth about it. */
  public attempt(keeper: Host, attempt: Attempt): Promise<AttemptResult> {
    const { self, registry, counters } = this.options;
    if (keeper.name === self) {
      counters.add('attempts', 'local');
      return registry.run(attempt);
    }
    counters.add('attempts', 'remote');
    return this.attemptRemotely(keeper, attempt);
  }

  /** Serves an attempt that another daemon sent. */
  public serve(stream: AnswerStream): void {
    this.running += 1;
    stream.on('close', () => {
      this.running -= 1;
    });
    serveFrames(stream, (request) => this.runReceived(request));
  }

  private async attemptRemotely(keeper: Host, attempt: Attempt): Promise<AttemptResult> {
    const { clients, clock } = this.options;
    const client = clients.to(keeper);
    const lane = attempt.body.isWhole ? 'short' : 'bulk';
    const remaining = remainingUntil(clock, attempt.deadline);
    if (attempt.signal.aborted) return refusal('caller-cancelled', '');
    if (!(await client.isReady(lane, Math.min(remaining, CONNECT_MILLISECONDS)))) {
      return refusal('keeper-unreachable', keeper.name);
    }
    return exchangeFrames({
      stream: client.dispatch(lane, remaining + GRACE_MILLISECONDS),
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
    // A lookup that came whole needs no word that it was admitted.
    const isWordNeeded = requestClass === 'non-idempotent' || !body.isWhole;
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
      ...(isWordNeeded ? { onAdmitted: proceed } : {}),
    };
    return this.options.registry.run(attempt);
  }
}
