/**
 * When refused callers are told to return. Each gets the next free time at the rate at which room
 * comes free, so that callers return spread out rather than all at once. A time that would leave a
 * caller too little to be served is not promised; such callers return spread over what they can wait.
 */
import type { Random } from '@cactusrun/core';

/** Share of the room that is kept for returns; fresh requests need the rest. */
const RETURN_SHARE = 0.5;
/** Callers wait for at most this share of the time that they have left. */
const LONGEST_SHARE = 0.3;
/** The part of that time over which those without a promise are spread. */
const SPREAD_SHARE = 0.5;
/** Jitter of a promised time, within which neighbours may change places. */
const JITTER_MILLISECONDS = 50;

export default class ReturnSchedule {
  /** Monotonic time of the last promised return. */
  private lastReturn = Number.NEGATIVE_INFINITY;

  constructor(private readonly random: Random) {}

  /**
   * Promises a return; gives the time until then in milliseconds.
   *
   * @param ratePerMillisecond - requests for which room comes free
   * @param earliestMilliseconds - no room is expected before
   * @param remainingMilliseconds - time that the caller has left
   */
  public promise(
    now: number,
    ratePerMillisecond: number,
    earliestMilliseconds: number,
    remainingMilliseconds: number,
  ): number {
    const interval = 1 / Math.max(Number.EPSILON, ratePerMillisecond * RETURN_SHARE);
    const next = Math.max(now + earliestMilliseconds, this.lastReturn + interval);
    const longest = Math.max(0, remainingMilliseconds * LONGEST_SHARE);
    const delay = next - now + JITTER_MILLISECONDS * this.random.unit();
    if (delay > longest) return longest * (1 - SPREAD_SHARE * this.random.unit());
    this.lastReturn = next;
    return delay;
  }
}
