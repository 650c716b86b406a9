/**
 * Targets that asked this daemon for a rest: they want no request from it until a time. What they make
 * of the next one is unknown until they have answered it.
 */
import type { Clock, Counters, Logger } from '@cactusrun/core';

/** A rest, which belongs to one start of the target. */
interface Rest {
  readonly bornAt: number;
  /** Monotonic time at which it ends. */
  readonly until: number;
}

export interface TargetRestsParts {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class TargetRests {
  private readonly rests = new Map<string, Rest>();

  constructor(private readonly parts: TargetRestsParts) {}

  /** Records a rest from now on; one that ends earlier does not shorten another. */
  public record(target: string, bornAt: number, milliseconds: number): void {
    const now = this.parts.clock.now();
    const until = Math.max(now + milliseconds, this.untilOf(target, bornAt) ?? 0);
    this.rests.set(target, { bornAt, until });
    this.parts.counters.add('target_rests', 'asked-for');
    this.parts.logger.info('target-resting', { target, milliseconds });
  }

  /** Monotonic time until which the target rests; undefined when it does not. */
  public untilOf(target: string, bornAt: number): number | undefined {
    const rest = this.rests.get(target);
    const isResting = rest?.bornAt === bornAt && rest.until > this.parts.clock.now();
    return isResting ? rest.until : undefined;
  }

  /** Whether the target has rested and not taken a request since. */
  public isUnproven(target: string, bornAt: number): boolean {
    return this.rests.get(target)?.bornAt === bornAt;
  }

  /** Records that the target took a request; one that still rests had been sent it before. */
  public recordTaken(target: string, bornAt: number): void {
    if (this.untilOf(target, bornAt) === undefined) this.rests.delete(target);
  }

  /** Forgets a target that has left the registry, unless it still rests: its entry may return. */
  public forget(target: string): void {
    const isResting = (this.rests.get(target)?.until ?? 0) > this.parts.clock.now();
    if (!isResting) this.rests.delete(target);
  }
}
