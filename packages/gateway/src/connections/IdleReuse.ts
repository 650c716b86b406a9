/**
 * Decides whether an idle connection to a target may be reused. Some targets drop idle connections
 * without notice: the next request on one is lost, and whether it was executed is unknown. After a
 * drop, seen by this daemon or a peer, connections to that target are reused only if they were used
 * recently; after drops by several targets this applies to all targets.
 */
import type { Clock } from '@cactusrun/core';

/** Idle time of a recently used connection: a drop within it would be a failure of the target. */
export const RECENT_USE_MILLISECONDS = 150;
/** Time for which a drop restricts reuse. */
const RESTRICTION_MILLISECONDS = 10_000;
/** Number of targets with a drop in that time from which reuse is restricted for all targets. */
const DROPPING_TARGETS_FOR_ALL = 2;

export default class IdleReuse {
  /** Monotonic time of the last drop, by target. */
  private readonly lastDropAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records that a target dropped an idle connection. */
  public recordDrop(target: string): void {
    const now = this.clock.now();
    [...this.lastDropAt]
      .filter(([, at]) => now - at >= RESTRICTION_MILLISECONDS)
      .forEach(([expired]) => this.lastDropAt.delete(expired));
    this.lastDropAt.set(target, now);
  }

  /** Idle time up to which a connection to the target may be reused. */
  public maximumIdleMilliseconds(target: string): number {
    const now = this.clock.now();
    const isRecent = (at: number | undefined) =>
      at !== undefined && now - at < RESTRICTION_MILLISECONDS;
    const droppingTargets = [...this.lastDropAt.values()].filter(isRecent).length;
    const isRestricted =
      droppingTargets >= DROPPING_TARGETS_FOR_ALL || isRecent(this.lastDropAt.get(target));
    return isRestricted ? RECENT_USE_MILLISECONDS : Number.POSITIVE_INFINITY;
  }
}
