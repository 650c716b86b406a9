/**
 * Whether requests that may be retried flow to a service. They find out at little cost which of its
 * targets are healthy, so that requests which must run once need not.
 */
import type { Clock } from '@cactusrun/core';

/** A service without such a request for this long has none. */
const WINDOW_MILLISECONDS = 2_000;

export default class RepeatableTraffic {
  /** Monotonic time of the last request that may be retried, by service. */
  private readonly lastAt = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** Records a request that may be retried. */
  public record(service: string): void {
    this.lastAt.set(service, this.clock.now());
  }

  public isFlowing(service: string): boolean {
    const at = this.lastAt.get(service);
    return at !== undefined && this.clock.now() - at < WINDOW_MILLISECONDS;
  }
}
