/**
 * Keeps enough targets of a service at work. Placing by expected loss alone leaves a target that
 * was suspected once without requests for as long as others have room: nobody learns that it is well
 * again, and the service lives on ever fewer targets. When too few targets have had a request of
 * late, idle ones are due for one, as long as they are likely to be well or much fails anyway.
 * Answers light load, at which nothing else spreads the work.
 */
import type { Clock } from '@cactusrun/core';
import type FailureShares from './FailureShares.js';
import type { KnownTarget } from './TargetTable.js';

/** A target without a request for this long is idle; under the 2 s after which it counts as unused. */
const IDLE_MILLISECONDS = 1_400;
/** A target is left alone for this long after a failure. */
const FAILED_MILLISECONDS = 2_000;
/** Chance of sickness up to which an idle target is due: that of one of which nothing is known. */
const LIKELY_WELL = 0.32;
/** Share of failures from which on a service must not live on few targets: the tolerated tenth. */
const TROUBLED_SHARE = 0.1;

/** Why a target should get the next request. */
export type DueReason = 'idle' | 'floor';

const NOTHING_DUE: ReadonlyMap<string, DueReason> = new Map();

export default class TargetCoverage {
  constructor(
    private readonly clock: Clock,
    private readonly failures: FailureShares,
    /** Share of the targets of a region that gets requests. */
    private readonly floorShare: number,
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
    if (sound.length - idle.length >= sound.length * this.floorShare) return NOTHING_DUE;
    const isTroubled = this.failures.of(service) >= TROUBLED_SHARE;
    return new Map(
      idle.flatMap(({ entry, belief }): [string, DueReason][] => {
        if (belief.probabilityAt(now) < LIKELY_WELL) return [[entry.id, 'idle']];
        return isTroubled ? [[entry.id, 'floor']] : [];
      }),
    );
  }
}
