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
  /** Share of the idle connections that a sick target drops, and a well one. */
  readonly dropShareSick: number;
  readonly dropShareWell: number;
}

/**
 * What was seen of one request at a target. A stalled one has not ended yet; a dropped one was sent on
 * an idle connection that had ended at the target.
 */
export type Observation = 'good' | 'failed' | 'stalled' | 'dropped';

interface Likelihood {
  readonly sick: number;
  readonly well: number;
}

const LIKELIHOODS: Readonly<Record<Observation, (rates: SicknessRates) => Likelihood>> = {
  good: (rates) => ({ sick: 1 - rates.failureShareSick, well: 1 - rates.failureShareWell }),
  failed: (rates) => ({ sick: rates.failureShareSick, well: rates.failureShareWell }),
  stalled: (rates) => ({ sick: rates.stallShareSick, well: rates.stallShareWell }),
  dropped: (rates) => ({ sick: rates.dropShareSick, well: rates.dropShareWell }),
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
  dropShareSick: 0.2,
  dropShareWell: 0.04,
};

/** Part of the expected length after which an episode may be over. */
const EARLY_SHARE = 0.95;
/** A failure after this part of the expected length belongs to another episode. */
const NEXT_EPISODE_SHARE = 1.1;
/** Time after an episode in which a recovery is likely; later the target is as any other. */
const LATE_MILLISECONDS = 4_000;
/** Probability below which a target is taken for well again. */
const WELL_PROBABILITY = 0.2;
/** Own observations this young go before what peers tell. */
const TRUSTED_MILLISECONDS = 1_000;
/** Probability of a target that a peer takes for sick. */
const TOLD_PROBABILITY = 0.85;

/** Failures in a row, and the belief before the first of them. */
interface Suspicion {
  /** Monotonic time of the first failure. */
  readonly since: number;
  /** Probability that the target fell sick before it. */
  readonly prior: number;
  /** How much likelier what was seen since is of a sick target. */
  readonly ratio: number;
}

export default class SicknessBelief {
  private probability: number;

  private updatedAt: number;

  private suspicion: Suspicion | undefined;

  private lastFailureAt = Number.NEGATIVE_INFINITY;

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
    if (this.suspicion === undefined) {
      return this.advance(this.probability, now - this.updatedAt, this.meanRecovery);
    }
    const { earlyRecoveryPerSecond, lateRecoveryPerSecond } = this.rates;
    const lateFrom = this.suspicion.since + this.length.milliseconds * EARLY_SHARE;
    const lateUntil = lateFrom + LATE_MILLISECONDS;
    const between = (from: number, until: number) =>
      Math.max(0, Math.min(now, until) - Math.max(this.updatedAt, from));
    const early = this.advance(
      this.probability,
      between(Number.NEGATIVE_INFINITY, lateFrom),
      earlyRecoveryPerSecond,
    );
    const late = this.advance(early, between(lateFrom, lateUntil), lateRecoveryPerSecond);
    return this.advance(late, between(lateUntil, Number.POSITIVE_INFINITY), this.meanRecovery);
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

  /** Monotonic time of the last failure that was seen. */
  public get failedAt(): number {
    return this.lastFailureAt;
  }

  /** Monotonic time of the first failure of the present suspicion, if there is one. */
  public get suspectedSince(): number | undefined {
    return this.suspicion?.since;
  }

  /**
   * Takes in what was seen of one request. A target decides on failure when it begins a request: a
   * good answer says that it was well then, and nothing of the time since.
   *
   * @param startedAt - monotonic time at which the request was sent
   */
  public observe(now: number, observation: Observation, startedAt = now): void {
    const { suspicion } = this;
    if (observation === 'failed') this.lastFailureAt = now;
    if (observation === 'good' && suspicion !== undefined && startedAt < suspicion.since) {
      this.boundOnset(now, suspicion, startedAt);
      return;
    }
    const prior = this.probabilityAt(now);
    const { sick, well } = LIKELIHOODS[observation](this.rates);
    const ratio = sick / well;
    if (suspicion !== undefined) {
      const since = observation === 'failed' ? this.episodeStart(now, suspicion) : suspicion.since;
      this.suspicion = { ...suspicion, since, ratio: suspicion.ratio * ratio };
    } else if (observation === 'failed') {
      this.suspicion = { since: now, prior, ratio };
    }
    this.probability = update(prior, ratio);
    this.updatedAt = now;
    this.followEpisode(now, observation, suspicion?.since ?? now);
  }

  /** A peer takes the target for sick since a time; nothing newer may have been seen here. */
  public learnSick(now: number, since: number): void {
    if (now - this.updatedAt < TRUSTED_MILLISECONDS) return;
    if (this.probabilityAt(now) >= TOLD_PROBABILITY) return;
    this.probability = TOLD_PROBABILITY;
    this.updatedAt = now;
    this.suspicion ??= { since, prior: TOLD_PROBABILITY, ratio: 1 };
  }

  /** The target was well when it began a request before the failure: less time to fall sick in. */
  private boundOnset(now: number, suspicion: Suspicion, startedAt: number): void {
    const { onsetPerSecond, failureShareWell } = this.rates;
    const seconds = (suspicion.since - startedAt) / MILLISECONDS;
    const prior = 1 - Math.exp(-onsetPerSecond * seconds);
    if (prior >= suspicion.prior) return;
    const bounded = { ...suspicion, prior: Math.max(prior, failureShareWell * onsetPerSecond) };
    this.suspicion = bounded;
    this.probability = update(bounded.prior, bounded.ratio);
    this.updatedAt = now;
    if (this.probability <= WELL_PROBABILITY) this.suspicion = undefined;
  }

  /** The start of the episode that a failure belongs to: one that lasts follows on the one before. */
  private episodeStart(now: number, { since }: Suspicion): number {
    const length = this.length.milliseconds;
    return now - since > length * NEXT_EPISODE_SHARE
      ? Math.max(since + length, now - length / 2)
      : since;
  }

  private followEpisode(now: number, observation: Observation, since: number): void {
    const { suspicion } = this;
    if (suspicion === undefined) return;
    const age = now - since;
    if (observation === 'failed') this.length.noteFailure(age);
    if (this.probability > WELL_PROBABILITY) return;
    if (observation === 'good') this.length.noteRecovery(age);
    this.suspicion = undefined;
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

/** A probability after an observation that is `ratio` times likelier if it holds. */
function update(prior: number, ratio: number): number {
  const odds = (prior / Math.max(1e-9, 1 - prior)) * ratio;
  return odds / (1 + odds);
}
