/**
 * Targets that asked this daemon to back off: to send them no request until a time. Whether they take
 * the next one is unknown until they have answered it.
 */
import type { Clock, Counters, Logger } from '@cactusrun/core';

/** A backoff that one process of a target asked for. */
interface Backoff {
  readonly bornAt: number;
  /** Monotonic time at which it ends. */
  readonly until: number;
}

export interface TargetBackoffsParts {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class TargetBackoffs {
  private readonly backoffs = new Map<string, Backoff>();

  constructor(private readonly parts: TargetBackoffsParts) {}

  /** Records a backoff from now on; one that ends earlier does not shorten another. */
  public record(target: string, bornAt: number, milliseconds: number): void {
    const now = this.parts.clock.now();
    const until = Math.max(now + milliseconds, this.untilOf(target, bornAt) ?? 0);
    this.backoffs.set(target, { bornAt, until });
    this.parts.counters.add('target_backoffs', 'asked-for');
    this.parts.logger.info('target-backoff', { target, milliseconds });
  }

  /** Monotonic time until which nothing is to be sent; undefined when something may be. */
  public untilOf(target: string, bornAt: number): number | undefined {
    const backoff = this.backoffs.get(target);
    const isInForce = backoff?.bornAt === bornAt && backoff.until > this.parts.clock.now();
    return isInForce ? backoff.until : undefined;
  }

  /** Whether the target asked for a backoff and has not taken a request since. */
  public isUnproven(target: string, bornAt: number): boolean {
    return this.backoffs.get(target)?.bornAt === bornAt;
  }

  /** Records that the target took a request, unless that was sent before a backoff in force. */
  public recordTaken(target: string, bornAt: number): void {
    if (this.untilOf(target, bornAt) === undefined) this.backoffs.delete(target);
  }

  /** Forgets a target that has left the registry, but no backoff in force: its entry may return. */
  public forget(target: string): void {
    const isInForce = (this.backoffs.get(target)?.until ?? 0) > this.parts.clock.now();
    if (!isInForce) this.backoffs.delete(target);
  }
}
