/** The recent failure rate of each service, from outcomes at this daemon and its peers. */
import type { Clock } from '@cactusrun/core';

/** Time constant of the exponential decay: after this time an outcome has the weight 1/e. */
const DECAY_MILLISECONDS = 2_000;
/** With fewer outcomes than this no rate is computed. */
const MINIMUM_OUTCOMES = 10;

interface DecayingCounts {
  readonly total: number;
  readonly failed: number;
  readonly at: number;
}

const NO_OUTCOMES: DecayingCounts = { total: 0, failed: 0, at: 0 };

export default class FailureRates {
  private readonly services = new Map<string, DecayingCounts>();

  constructor(private readonly clock: Clock) {}

  /** Records the outcome of one request. */
  public record(service: string, hasFailed: boolean): void {
    const { total, failed, at } = this.decayedCounts(service);
    this.services.set(service, { total: total + 1, failed: failed + (hasFailed ? 1 : 0), at });
  }

  /** Failure rate from 0 to 1; 0 with too few outcomes. */
  public rateOf(service: string): number {
    const { total, failed } = this.decayedCounts(service);
    return total < MINIMUM_OUTCOMES ? 0 : failed / total;
  }

  private decayedCounts(service: string): DecayingCounts {
    const now = this.clock.now();
    const { total, failed, at } = this.services.get(service) ?? NO_OUTCOMES;
    const decay = Math.exp((at - now) / DECAY_MILLISECONDS);
    return { total: total * decay, failed: failed * decay, at: now };
  }
}
