/**
 * Limits the deposits that a keeper (the daemon through which all requests to a shard go) may start
 * in an order window. Windows begin at multiples of their length on the wall clock, the same on
 * every host. The limit of the contract is divided among the shards of the service. A keeper that
 * took a shard over without a handover starts no deposit before the next window.
 */
import type { Clock } from '@cactusrun/core';

export interface OrderWindowUse {
  /** Wall time at which the window began, milliseconds since the epoch. */
  readonly windowStart: number;
  readonly started: number;
}

/** The share of one shard, by the largest remainder method, so that the shares sum to the total. */
export function shareOfDeposits(total: number, sizes: readonly number[], index: number): number {
  const all = sizes.reduce((sum, size) => sum + size, 0);
  if (all === 0) return 0;
  const exact = sizes.map((size) => (total * size) / all);
  const floors = exact.map(Math.floor);
  const unassigned = total - floors.reduce((sum, share) => sum + share, 0);
  const roundedUp = exact
    .map((share, position) => ({ position, remainder: share - Math.floor(share) }))
    .sort((left, right) => right.remainder - left.remainder || left.position - right.position)
    .slice(0, unassigned)
    .map(({ position }) => position);
  return (floors[index] ?? 0) + (roundedUp.includes(index) ? 1 : 0);
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

  /** Starts no deposit before the next window, as those of the former keeper are unknown. */
  public closeUntilNextWindow(): void {
    this.rollOver();
    this.closedUntil = this.windowStart + this.lengthMilliseconds;
  }

  /** Applies the number of deposits that the former keeper reported. */
  public restore(use: OrderWindowUse): void {
    this.rollOver();
    if (use.windowStart !== this.windowStart) return;
    this.started = Math.max(this.started, use.started);
    this.closedUntil = 0;
  }

  public use(): OrderWindowUse {
    this.rollOver();
    return { windowStart: this.windowStart, started: this.started };
  }

  /** Counts a deposit if the limit of the window allows it. */
  public tryStartDeposit(): boolean {
    this.rollOver();
    if (this.windowStart < this.closedUntil || this.started >= this.limit) return false;
    this.started += 1;
    return true;
  }

  /** Uncounts a deposit that was proved not to have run. */
  public cancelDeposit(windowStart: number): void {
    this.rollOver();
    if (windowStart === this.windowStart) this.started = Math.max(0, this.started - 1);
  }

  private rollOver(): void {
    const now = this.clock.wallNow();
    const start = now - (now % this.lengthMilliseconds);
    if (start === this.windowStart) return;
    this.windowStart = start;
    this.started = 0;
  }
}
