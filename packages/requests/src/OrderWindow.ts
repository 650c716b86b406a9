/**
 * The deposits that one keeper may start in an order window. Windows begin at whole multiples of
 * their length on the wall clock, the same on every host. The contract's number is divided among
 * the shards of the service; a keeper that took a shard over without being told what was used
 * starts no deposit before the next window.
 */
import type { Clock } from '@cactusrun/core';

export interface OrderWindowUse {
  /** Wall time at which the window began, milliseconds since the epoch. */
  readonly windowStart: number;
  readonly started: number;
}

/** The whole-number share of one shard: largest remainders first, so that shares add up. */
export function shareOfDeposits(total: number, sizes: readonly number[], index: number): number {
  const all = sizes.reduce((sum, size) => sum + size, 0);
  if (all === 0) return 0;
  const exact = sizes.map((size) => (total * size) / all);
  const floors = exact.map(Math.floor);
  const rest = total - floors.reduce((sum, share) => sum + share, 0);
  const favoured = exact
    .map((share, position) => ({ position, remainder: share - Math.floor(share) }))
    .sort((left, right) => right.remainder - left.remainder || left.position - right.position)
    .slice(0, rest)
    .map(({ position }) => position);
  return (floors[index] ?? 0) + (favoured.includes(index) ? 1 : 0);
}

export default class OrderWindow {
  private windowStart = 0;

  private started = 0;

  private closedUntil = 0;

  constructor(
    private readonly clock: Clock,
    private lengthMilliseconds: number,
    private limit: number,
  ) {}

  public configure(lengthMilliseconds: number, limit: number): void {
    this.lengthMilliseconds = lengthMilliseconds;
    this.limit = limit;
  }

  /** The shard was taken over with no word of what was used: wait for the next window. */
  public closeUntilNextWindow(): void {
    this.roll();
    this.closedUntil = this.windowStart + this.lengthMilliseconds;
  }

  /** The former keeper told what it had started. */
  public restore(use: OrderWindowUse): void {
    this.roll();
    if (use.windowStart !== this.windowStart) return;
    this.started = Math.max(this.started, use.started);
    this.closedUntil = 0;
  }

  public use(): OrderWindowUse {
    this.roll();
    return { windowStart: this.windowStart, started: this.started };
  }

  /** Counts a deposit if the window has room. */
  public tryStart(): boolean {
    this.roll();
    if (this.windowStart < this.closedUntil || this.started >= this.limit) return false;
    this.started += 1;
    return true;
  }

  /** Takes a deposit back that was proved not to have run. */
  public giveBack(windowStart: number): void {
    this.roll();
    if (windowStart === this.windowStart) this.started = Math.max(0, this.started - 1);
  }

  private roll(): void {
    const now = this.clock.wallNow();
    const start = now - (now % this.lengthMilliseconds);
    if (start === this.windowStart) return;
    this.windowStart = start;
    this.started = 0;
  }
}
