/** Tells whether a daemon may pass requests on to targets and peers, which it ceases to do in a stop. */
import type { Clock } from '@cactusrun/core';

export default class StopGate {
  /** Monotonic time from which on nothing is passed on; undefined before the stop. */
  private closesAt: number | undefined;

  constructor(private readonly clock: Clock) {}

  /** Begins the stop; requests are passed on for so long from now. */
  public beginStop(servingMilliseconds: number): void {
    this.closesAt = this.clock.now() + servingMilliseconds;
  }

  public get isStopping(): boolean {
    return this.closesAt !== undefined;
  }

  /** Whether a request that has not been passed on is refused; it certainly did not run. */
  public get isClosed(): boolean {
    return this.closesAt !== undefined && this.clock.now() >= this.closesAt;
  }
}
