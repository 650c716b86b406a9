/**
 * Keeps enough targets of a service at work. Placing by expected loss alone leaves a target that
 * was suspected once without requests for as long as others have room: nobody learns that it is well
 * again, and the service lives on ever fewer targets. A target that has been idle for a while is due
 * for one request. Answers light load, at which nothing else spreads the work.
 */
import type { Clock } from '@cactusrun/core';
import type FailureShares from './FailureShares.js';
import type { KnownTarget } from './TargetTable.js';

/** A target without a request for this long is idle; under the 2 s after which it counts as unused. */
const IDLE_MILLISECONDS = 1_400;
/** A target is left alone for this long after a failure. */
const FAILED_MILLISECONDS = 2_000;
/** Chance of sickness up to which an idle target is due. */
const LIKELY_WELL = 0.45;
/** Share of failures at which a service must not live on few targets: half of the tolerated tenth. */
const TROUBLED_SHARE = 0.06;
/** Share of the targets that gets requests while much fails: the floor of 0.7 and a margin. */
const COVERED_SHARE = 0.85;

/** Why a target should get the next request. */
export type DueReason = 'idle' | 'floor';

export default class TargetCoverage {
  constructor(
    private readonly clock: Clock,
    private readonly failures: FailureShares,
  ) {}

  /**
   * The targets that are due for a request.
   *
   * @param targets - those of one service that can be reached
   */
  public due(service: string, targets: readonly KnownTarget[]): ReadonlyMap<string, DueReason> {
    const now = this.clock.now();
    const sound = targets.filter(({ belief }) => now - belief.failedAt > FAILED_MILLISECONDS);
    const idle = sound.filter(({ usedAt }) => now - usedAt > IDLE_MILLISECONDS);
    const isTroubled = this.failures.of(service) >= TROUBLED_SHARE;
    const isBelowFloor = isTroubled && sound.length - idle.length < sound.length * COVERED_SHARE;
    return new Map(
      idle.flatMap(({ entry, belief }): [string, DueReason][] => {
        if (belief.probabilityAt(now) < LIKELY_WELL) return [[entry.id, 'idle']];
        return isBelowFloor ? [[entry.id, 'floor']] : [];
      }),
    );
  }
}
