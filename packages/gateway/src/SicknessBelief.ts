/**
 * How likely a target is in a state in which it fails most requests. The target is modelled as a
 * two-state Markov chain (well, sick) that is observed through the outcomes of requests; the belief
 * is the filtered probability of the sick state, and returns to the stationary one with time.
 */

const MILLISECONDS = 1_000;

export interface SicknessRates {
  /** Onsets per second of a well target. */
  readonly onsetPerSecond: number;
  /** Recoveries per second of a sick target. */
  readonly recoveryPerSecond: number;
  /** Share of the requests that a sick target fails. */
  readonly failureShareSick: number;
  /** Share of the requests that a well target fails. */
  readonly failureShareWell: number;
}

/** Episodes of some seconds out of about nine, as the platform's pages describe them. */
export const DEFAULT_SICKNESS_RATES: SicknessRates = {
  onsetPerSecond: 0.16,
  recoveryPerSecond: 0.37,
  failureShareSick: 0.75,
  failureShareWell: 0.012,
};

export default class SicknessBelief {
  private probability: number;

  private updatedAt: number;

  constructor(
    private readonly rates: SicknessRates,
    now: number,
  ) {
    this.probability = this.stationary;
    this.updatedAt = now;
  }

  /** Probability that the target is sick at the time (monotonic milliseconds). */
  public probabilityAt(now: number): number {
    const { onsetPerSecond, recoveryPerSecond } = this.rates;
    const seconds = Math.max(0, now - this.updatedAt) / MILLISECONDS;
    const kept = Math.exp(-(onsetPerSecond + recoveryPerSecond) * seconds);
    return this.stationary + (this.probability - this.stationary) * kept;
  }

  /** Probability that the next request fails. */
  public failureAt(now: number): number {
    const { failureShareSick, failureShareWell } = this.rates;
    const sick = this.probabilityAt(now);
    return sick * failureShareSick + (1 - sick) * failureShareWell;
  }

  /** Takes in the outcome of one request. */
  public observe(now: number, hasFailed: boolean): void {
    const { failureShareSick, failureShareWell } = this.rates;
    const prior = this.probabilityAt(now);
    const likelihoodSick = hasFailed ? failureShareSick : 1 - failureShareSick;
    const likelihoodWell = hasFailed ? failureShareWell : 1 - failureShareWell;
    const sick = prior * likelihoodSick;
    this.probability = sick / (sick + (1 - prior) * likelihoodWell);
    this.updatedAt = now;
  }

  private get stationary(): number {
    const { onsetPerSecond, recoveryPerSecond } = this.rates;
    return onsetPerSecond / (onsetPerSecond + recoveryPerSecond);
  }
}
