/**
 * How likely a target is in a state in which it fails most requests. The target is modelled as a
 * chain of two states that is observed through the outcomes of requests: a well target falls sick at
 * a constant rate, a sick one stays so for about the length of an episode. The belief is the filtered
 * probability of the sick state.
 */
import type EpisodeLength from './EpisodeLength.js';

const MILLISECONDS = 1_000;

export interface SicknessRates {
  /** Onsets per second of a well target. */
  readonly onsetPerSecond: number;
  /** Recoveries per second of a sick target within the length of an episode, and after it. */
  readonly earlyRecoveryPerSecond: number;
  readonly lateRecoveryPerSecond: number;
  /** Share of the targets that is sick, for one of which nothing is known. */
  readonly sickShare: number;
  /** Share of the requests that a sick target fails. */
  readonly failureShareSick: number;
  /** Share of the requests that a well target fails. */
  readonly failureShareWell: number;
  /** Share of the requests at a sick target, and at a well one, that take unusually long. */
  readonly stallShareSick: number;
  readonly stallShareWell: number;
}

/** What was seen of one request at a target. A stalled one has not ended yet. */
export type Observation = 'good' | 'failed' | 'stalled';

interface Likelihood {
  readonly sick: number;
  readonly well: number;
}

const LIKELIHOODS: Readonly<Record<Observation, (rates: SicknessRates) => Likelihood>> = {
  good: (rates) => ({ sick: 1 - rates.failureShareSick, well: 1 - rates.failureShareWell }),
  failed: (rates) => ({ sick: rates.failureShareSick, well: rates.failureShareWell }),
  stalled: (rates) => ({ sick: rates.stallShareSick, well: rates.stallShareWell }),
};

/** Episodes as in a run without injected faults: 9 s long, 30% of the time, 3 in 4 requests failed. */
export const DEFAULT_SICKNESS_RATES: SicknessRates = {
  onsetPerSecond: 0.045,
  earlyRecoveryPerSecond: 0.02,
  lateRecoveryPerSecond: 1,
  sickShare: 0.3,
  failureShareSick: 0.75,
  failureShareWell: 0.012,
  stallShareSick: 0.5,
  stallShareWell: 0.03,
};

/** Part of the expected length after which an episode may be over. */
const EARLY_SHARE = 0.9;
/** Probability from which a target is taken for sick, and for well again. */
const SICK_PROBABILITY = 0.6;
const WELL_PROBABILITY = 0.2;
/** Milliseconds of a request's own time after which a good answer says no less. */
const LONGEST_DOUBT = 1_000;
/** Own observations this young go before what peers tell. */
const TRUSTED_MILLISECONDS = 1_000;
/** Probability of a target that a peer takes for sick. */
const TOLD_PROBABILITY = 0.85;

export default class SicknessBelief {
  private probability: number;

  private updatedAt: number;

  /** Monotonic time of the last failure. */
  private failedAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time of the failure that began the present episode. */
  private sickSince: number | undefined;

  constructor(
    private readonly rates: SicknessRates,
    private readonly length: EpisodeLength,
    now: number,
  ) {
    this.probability = rates.sickShare;
    this.updatedAt = now;
  }

  /** Probability that the target is sick at the time (monotonic milliseconds). */
  public probabilityAt(now: number): number {
    if (now <= this.updatedAt) return this.probability;
    if (this.sickSince === undefined) {
      return this.advance(this.probability, now - this.updatedAt, this.meanRecovery);
    }
    const lateFrom = this.sickSince + this.length.milliseconds * EARLY_SHARE;
    const early = Math.max(0, Math.min(now, lateFrom) - this.updatedAt);
    const late = Math.max(0, now - Math.max(lateFrom, this.updatedAt));
    const { earlyRecoveryPerSecond, lateRecoveryPerSecond } = this.rates;
    const afterEarly = this.advance(this.probability, early, earlyRecoveryPerSecond);
    return this.advance(afterEarly, late, lateRecoveryPerSecond);
  }

  /** Probability that the next request fails. */
  public failureAt(now: number): number {
    const { failureShareSick, failureShareWell } = this.rates;
    const sick = this.probabilityAt(now);
    return sick * failureShareSick + (1 - sick) * failureShareWell;
  }

  /** Monotonic time of the last observation, own or told. */
  public get seenAt(): number {
    return this.updatedAt;
  }

  /**
   * Takes in what was seen of one request. A target decides on failure when it begins a request: a
   * good answer says that it was well then, and nothing of the time since.
   *
   * @param startedAt - monotonic time at which the request was sent
   */
  public observe(now: number, observation: Observation, startedAt = now): void {
    if (observation === 'good' && startedAt < this.failedAt) return;
    if (observation === 'failed') this.failedAt = now;
    const likelihood = LIKELIHOODS[observation](this.rates);
    const prior = this.probabilityAt(now);
    const sick = prior * likelihood.sick;
    const posterior = sick / (sick + (1 - prior) * likelihood.well);
    const elapsed = observation === 'good' ? Math.min(now - startedAt, LONGEST_DOUBT) : 0;
    this.probability = this.advance(posterior, elapsed, this.meanRecovery);
    this.updatedAt = now;
    this.followEpisode(now, observation === 'failed');
  }

  /** A peer takes the target for sick since a time; nothing newer may have been seen here. */
  public learnSick(now: number, since: number): void {
    if (now - this.updatedAt < TRUSTED_MILLISECONDS) return;
    if (this.probabilityAt(now) >= TOLD_PROBABILITY) return;
    this.probability = TOLD_PROBABILITY;
    this.updatedAt = now;
    this.sickSince ??= since;
  }

  /** Monotonic time since which the target is taken for sick, if it is. */
  public get suspectedSince(): number | undefined {
    return this.sickSince;
  }

  private followEpisode(now: number, hasFailed: boolean): void {
    if (this.sickSince === undefined) {
      if (this.probability >= SICK_PROBABILITY) this.sickSince = now;
      return;
    }
    const age = now - this.sickSince;
    if (hasFailed) this.length.noteFailure(age);
    if (this.probability > WELL_PROBABILITY) return;
    this.length.noteRecovery(age);
    this.sickSince = undefined;
  }

  /** The belief after some time in which nothing was observed. */
  private advance(probability: number, milliseconds: number, recoveryPerSecond: number): number {
    const { onsetPerSecond } = this.rates;
    const rate = onsetPerSecond + recoveryPerSecond;
    const limit = onsetPerSecond / rate;
    const kept = Math.exp((-rate * milliseconds) / MILLISECONDS);
    return limit + (probability - limit) * kept;
  }

  /** Recoveries per second that hold the share of sick targets constant. */
  private get meanRecovery(): number {
    const { onsetPerSecond, sickShare } = this.rates;
    return (onsetPerSecond * (1 - sickShare)) / sickShare;
  }
}
