/**
 * Whether an idle connection to a target may carry another request. Targets at times drop idle
 * connections without notice: what is sent next on one is lost, and nobody can say whether it ran.
 * A drop that this daemon or a peer met has connections to that target reused only while they are
 * hot, and those to all targets once several of them drop.
 */
import type { Clock } from '@cactusrun/core';

/** A connection that was used this recently is hot: a drop of it would be a failure of the target. */
export const HOT_MILLISECONDS = 150;
/** Time for which a drop has its effect. */
const CAUTION_MILLISECONDS = 10_000;
/** Targets that drop connections within that time before all are taken to do so. */
const DROPPING_TARGETS = 2;

export default class IdleReuse {
  /** Monotonic time of the last drop, by target. */
  private readonly drops = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** A target dropped an idle connection. */
  public noteDrop(target: string): void {
    const now = this.clock.now();
    [...this.drops]
      .filter(([, at]) => now - at >= CAUTION_MILLISECONDS)
      .forEach(([old]) => this.drops.delete(old));
    this.drops.set(target, now);
  }

  /** Longest idle time after which a connection to the target is reused. */
  public longestIdle(target: string): number {
    const now = this.clock.now();
    const isRecent = (at: number | undefined) =>
      at !== undefined && now - at < CAUTION_MILLISECONDS;
    const dropping = [...this.drops.values()].filter(isRecent).length;
    const isCautious = dropping >= DROPPING_TARGETS || isRecent(this.drops.get(target));
    return isCautious ? HOT_MILLISECONDS : Number.POSITIVE_INFINITY;
  }
}
