/**
 * Keeps requests going to enough targets of a service. Choosing by expected cost alone never
 * returns to a target that was suspected once while others have free slots: its recovery goes
 * unnoticed, and the service uses fewer and fewer targets. When too few targets have had a recent
 * request, idle ones are due for one if they are probably healthy or the failure rate is high
 * anyway. This matters at light load, where nothing else spreads requests.
 */
import type { Clock } from '@cactusrun/core';
import type FailureRates from '../health/FailureRates.js';
import type { KnownTarget } from '../state/TargetTable.js';

/** A target without a request for this long is idle; below the 2 s after which it counts as unused. */
const IDLE_MILLISECONDS = 1_400;
/** A target is not due for this long after a failure. */
const FAILURE_COOLDOWN_MILLISECONDS = 2_000;
/** An idle target is due below this probability of being unhealthy, that of an unobserved one. */
const IDLE_DUE_PROBABILITY = 0.32;
/** Failure rate from which a service must not rely on few targets: the tolerated 10%. */
const HIGH_FAILURE_RATE = 0.1;

/** Why a target is due for a request. */
export type DueReason = 'idle' | 'floor';

const NOTHING_DUE: ReadonlyMap<string, DueReason> = new Map();

export default class TargetCoverage {
  constructor(
    private readonly clock: Clock,
    private readonly failures: FailureRates,
    /** Fraction of the targets of a region that is to receive requests. */
    private readonly floorShare: number,
  ) {}

  /**
   * The targets that are due for a request.
   *
   * @param targets - reachable targets of the service
   * @param leavesTrials - whether the request should be spared because others can try idle targets; at
   *   a high failure rate none is
   */
  public due(
    service: string,
    targets: readonly KnownTarget[],
    leavesTrials = false,
  ): ReadonlyMap<string, DueReason> {
    const hasHighFailureRate = this.failures.rateOf(service) >= HIGH_FAILURE_RATE;
    if (leavesTrials && !hasHighFailureRate) return NOTHING_DUE;
    const now = this.clock.now();
    const eligible = targets.filter(
      ({ healthEstimate }) => now - healthEstimate.failedAt > FAILURE_COOLDOWN_MILLISECONDS,
    );
    const idle = eligible.filter(({ usedAt }) => now - usedAt > IDLE_MILLISECONDS);
    if (eligible.length - idle.length >= eligible.length * this.floorShare) return NOTHING_DUE;
    return new Map(
      idle.flatMap(({ entry, healthEstimate }): [string, DueReason][] => {
        if (healthEstimate.unhealthyProbabilityAt(now) < IDLE_DUE_PROBABILITY)
          return [[entry.id, 'idle']];
        return hasHighFailureRate ? [[entry.id, 'floor']] : [];
      }),
    );
  }
}
