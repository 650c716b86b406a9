/** The share of each service's requests that failed of late, as this daemon and its peers saw it. */
import type { Clock } from '@cactusrun/core';

/** Time after which an outcome counts for a fraction of 1/e. */
const FADE_MILLISECONDS = 2_000;
/** Fewer outcomes than this say nothing. */
const FEWEST_OUTCOMES = 10;

interface Fading {
  readonly total: number;
  readonly failed: number;
  readonly at: number;
}

const NOTHING: Fading = { total: 0, failed: 0, at: 0 };

export default class FailureShares {
  private readonly services = new Map<string, Fading>();

  constructor(private readonly clock: Clock) {}

  /** Takes in how one request ended. */
  public note(service: string, hasFailed: boolean): void {
    const { total, failed, at } = this.fade(service);
    this.services.set(service, { total: total + 1, failed: failed + (hasFailed ? 1 : 0), at });
  }

  /** Share of the requests that failed, from 0 to 1; 0 while hardly any is known. */
  public of(service: string): number {
    const { total, failed } = this.fade(service);
    return total < FEWEST_OUTCOMES ? 0 : failed / total;
  }

  private fade(service: string): Fading {
    const now = this.clock.now();
    const { total, failed, at } = this.services.get(service) ?? NOTHING;
    const kept = Math.exp((at - now) / FADE_MILLISECONDS);
    return { total: total * kept, failed: failed * kept, at: now };
  }
}
