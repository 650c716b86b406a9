/**
 * Hedged requests of one daemon: when a request counts as slow on its route, and whether a second
 * target gets it within the share of extra work that operators accept. A share of 0 switches all of
 * it off.
 */
import type { Clock, Counters } from '@cactusrun/core';
import type { AttemptResult } from '../connections/TargetAttempt.js';
import { isSuccessful } from '../execution/RunningAttempt.js';
import type { Pick, PickResult } from '../placement/TargetPick.js';
import type TargetReachability from '../reachability/TargetReachability.js';
import type { GatewayRoute, RequestKind } from '../state/GatewayConfiguration.js';
import AnswerTimes from './AnswerTimes.js';
import type { HedgeDenial } from './decideHedge.js';
import decideHedge from './decideHedge.js';
import HedgeShare from './HedgeShare.js';
import type SlotOccupancy from './SlotOccupancy.js';

/** Times kept of a route, as a multiple of those of which one is expected beyond the hedge delay. */
const MEMORY_FACTOR = 20;
const MEDIAN = 0.5;
/** Routes whose times are kept; those of the route that was used first are dropped beyond it. */
const MAXIMUM_ROUTES = 256;

/** A large answer is slow for its bytes, of which a hedge would send twice as many. */
const HEDGED_KINDS: ReadonlySet<RequestKind> = new Set(['idempotent']);

export interface HedgePolicyParts {
  /** Hedged requests accepted per request of a service, from 0 (off) to 1. */
  readonly share: number;
  readonly occupancy: { [Question in 'of']: SlotOccupancy[Question] };
  readonly reachability: { [Question in 'hasHeardSince']: TargetReachability[Question] };
  readonly clock: Clock;
  readonly counters: Counters;
}

/** The first attempt of a request. */
export interface HedgedAttempt {
  readonly service: string;
  readonly route: GatewayRoute;
  /** Monotonic time at which it was sent. */
  readonly startedAt: number;
  readonly result: Promise<AttemptResult>;
}

export default class HedgePolicy {
  private readonly shares = new Map<string, HedgeShare>();

  private readonly times = new Map<string, AnswerTimes>();

  constructor(private readonly parts: HedgePolicyParts) {}

  /** Counts a request that this daemon sends to a service for the first time. */
  public recordRequest(service: string): void {
    if (this.parts.share > 0) this.shareOf(service).deposit();
  }

  /**
   * Learns the time of an attempt.
   *
   * @returns a promise that resolves when the attempt is slow; never if it ends before, or if
   *   requests of its kind are not hedged
   */
  public watch(attempt: HedgedAttempt): Promise<void> {
    const { clock, share } = this.parts;
    const isHedged = share > 0 && HEDGED_KINDS.has(attempt.route.kind);
    if (!isHedged) return new Promise(() => {});
    const delay = this.delayOf(attempt);
    return new Promise((resolve) => {
      const stopTimer = delay === undefined ? () => {} : clock.after(delay, resolve);
      attempt.result.then((result) => {
        stopTimer();
        this.learn(attempt, result, delay);
      }, stopTimer);
    });
  }

  /**
   * Decides whether the slow attempt is hedged, and counts the reason if it is not.
   *
   * @param pick - chooses the second target
   * @param deadline - monotonic time by which the caller needs its answer
   */
  public choose(
    attempt: HedgedAttempt,
    pick: () => PickResult,
    deadline: number,
  ): Pick | undefined {
    const { occupancy, reachability, clock } = this.parts;
    const { service, startedAt } = attempt;
    const decision = decideHedge({
      isShareAvailable: this.shareOf(service).isAvailable,
      areLinksSound: reachability.hasHeardSince(startedAt),
      slotsTaken: () => occupancy.of(service),
      pick,
      remainingMilliseconds: deadline - clock.now(),
      medianMilliseconds: () => this.timesOf(attempt).quantile(MEDIAN) ?? 0,
    });
    if (decision.kind === 'hedge') return decision.pick;
    this.recordDenial(decision.reason);
    return undefined;
  }

  /** Counts a slow request that is not hedged. */
  public recordDenial(reason: HedgeDenial): void {
    this.parts.counters.add('hedges_denied', reason);
  }

  /** Counts a hedged request, and which of the two attempts gives the first good answer. */
  public recordHedge({ service, result }: HedgedAttempt, second: Promise<AttemptResult>): void {
    const { counters } = this.parts;
    this.shareOf(service).withdraw();
    counters.add('hedges', 'started');
    Promise.any([whenSuccessful(result, 'lost'), whenSuccessful(second, 'won')]).then(
      (outcome) => counters.add('hedges', outcome),
      () => counters.add('hedges', 'both-failed'),
    );
  }

  /** Time after which an attempt is slow; undefined while too few times are known. */
  private delayOf(attempt: HedgedAttempt): number | undefined {
    const { share } = this.parts;
    const times = this.timesOf(attempt);
    return times.weight * share < 1 ? undefined : times.quantile(1 - share);
  }

  /**
   * Records the time of an attempt. That of an answer which did not arrive is unknown, but known to be
   * long if the attempt was slow already; without it the delay would sink with each hedge.
   */
  private learn(attempt: HedgedAttempt, result: AttemptResult, delay: number | undefined): void {
    const elapsed = this.parts.clock.now() - attempt.startedAt;
    const isCutShort = result.kind === 'cancelled' || result.kind === 'timeout';
    const isLong = elapsed >= (delay ?? Number.POSITIVE_INFINITY) || result.kind === 'timeout';
    if (isSuccessful(result) || (isCutShort && isLong)) this.timesOf(attempt).record(elapsed);
  }

  private shareOf(service: string): HedgeShare {
    const share = this.shares.get(service) ?? new HedgeShare(this.parts.share);
    this.shares.set(service, share);
    return share;
  }

  private timesOf({ service, route }: HedgedAttempt): AnswerTimes {
    const key = `${route.name} ${service}`;
    const times = this.times.get(key) ?? new AnswerTimes(MEMORY_FACTOR / this.parts.share);
    this.times.set(key, times);
    const [oldest] = this.times.keys();
    if (this.times.size > MAXIMUM_ROUTES && oldest !== undefined) this.times.delete(oldest);
    return times;
  }
}

async function whenSuccessful<Outcome>(
  result: Promise<AttemptResult>,
  outcome: Outcome,
): Promise<Outcome> {
  if (!isSuccessful(await result)) throw new Error('no good answer');
  return outcome;
}
