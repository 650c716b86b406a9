/** Sends a request to the picked target, and to a second one when it is slow or stalls there. */
import type { Clock, Counters } from '@cactusrun/core';
import type HedgePolicy from '../hedging/HedgePolicy.js';
import type { HedgedAttempt } from '../hedging/HedgePolicy.js';
import type { Pick } from '../placement/TargetPick.js';
import type TargetReachability from '../reachability/TargetReachability.js';
import type AttemptLog from './AttemptLog.js';
import type AttemptResultHandler from './AttemptResultHandler.js';
import type AttemptStarter from './AttemptStarter.js';
import type { ExecutionPlan } from './ExecutionPlan.js';
import { isIdempotent } from './ExecutionPlan.js';
import type { ExecutionStep } from './ExecutionStep.js';
import type RequestEnding from './RequestEnding.js';
import type RequestRelay from './RequestRelay.js';
import type RequestRetries from './RequestRetries.js';
import type { RunningAttempt } from './RunningAttempt.js';

export interface RequestSenderParts {
  readonly hedging: HedgePolicy;
  readonly reachability: TargetReachability;
  readonly counters: Counters;
  readonly clock: Clock;
}

/** The parts of the execution that sending uses. */
export interface SenderContext {
  readonly log: AttemptLog;
  readonly retries: RequestRetries;
  readonly starter: AttemptStarter;
  readonly results: AttemptResultHandler;
  readonly relay: RequestRelay;
  readonly ending: RequestEnding;
}

export default class RequestSender {
  constructor(
    private readonly parts: RequestSenderParts,
    private readonly plan: ExecutionPlan,
    private readonly context: SenderContext,
  ) {}

  /** Sends to the picked target; an idempotent request that is slow there is hedged on a second one. */
  public async send(pick: Pick): Promise<ExecutionStep> {
    const { hedging, clock } = this.parts;
    const { exchange, service, route } = this.plan;
    if (!exchange.passOn()) return this.context.ending.conclude('stopping');
    const startedAt = clock.now();
    const first = this.context.starter.start(pick);
    const attempt = { service, route, startedAt, result: first.result };
    const ended = first.result.then(() => 'ended' as const);
    const stalled = first.stalled.then(() => 'stalled' as const);
    const slow = hedging.watch(attempt).then(() => 'slow' as const);
    const event = await Promise.race([ended, stalled, slow]);
    const second = event === 'slow' ? this.hedgeSlow(attempt) : undefined;
    if (second !== undefined) return this.context.results.settleEither(first, second);
    const hasEnded = (await Promise.race([ended, stalled])) === 'ended';
    return this.awaitRest(first, hasEnded);
  }

  /** Awaits an attempt that has ended, or has stalled and may be given up or hedged. */
  private async awaitRest(first: RunningAttempt, hasEnded: boolean): Promise<ExecutionStep> {
    const { results, relay } = this.context;
    const { isCutOff } = this.parts.reachability;
    const mayRelay = isCutOff && isIdempotent(this.plan) && relay.canRelay;
    if (!hasEnded && mayRelay) return results.abandon(first);
    const second = hasEnded ? undefined : this.hedgeStalled();
    return second === undefined ? results.settle(first) : results.settleEither(first, second);
  }

  /** Hedges a slow attempt within the share of extra work that operators accept. */
  private hedgeSlow(attempt: HedgedAttempt): RunningAttempt | undefined {
    const { hedging, counters, clock } = this.parts;
    const { log, retries, starter } = this.context;
    const pick = hedging.choose(attempt, () => starter.pick(), this.plan.deadline);
    if (pick === undefined) return undefined;
    if (!retries.withdraw()) {
      hedging.recordDenial('no-retry-left');
      return undefined;
    }
    counters.add('retries', 'hedged');
    const second = starter.start(pick);
    hedging.recordHedge(attempt, second.result);
    log.recordHedge(pick, clock.now() - attempt.startedAt);
    return second;
  }

  /** Hedges an attempt that has stalled, as a retry of one that is presumed lost. */
  private hedgeStalled(): RunningAttempt | undefined {
    const { retries, starter } = this.context;
    if (!isIdempotent(this.plan)) return undefined;
    const picked = starter.pick();
    if (picked.kind !== 'picked' || !retries.withdraw()) return undefined;
    this.parts.counters.add('retries', 'hedged');
    return starter.start(picked.pick);
  }
}
