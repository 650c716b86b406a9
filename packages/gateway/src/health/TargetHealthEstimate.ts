/**
 * Estimates the probability that a target is unhealthy, that is, fails most of its requests. The
 * target follows a hidden Markov model with two states, observed through request outcomes: a
 * healthy target becomes unhealthy at a constant rate, an unhealthy one recovers after about the
 * length of a failure episode. The estimate is the filtered probability of the unhealthy state.
 */
import type EpisodeLength from './EpisodeLength.js';

const MILLISECONDS_PER_SECOND = 1_000;

export interface HealthModelParameters {
  /** Rate at which a healthy target becomes unhealthy. */
  readonly onsetPerSecond: number;
  /** Recovery rate of an unhealthy target within the expected episode length, and after it. */
  readonly earlyRecoveryPerSecond: number;
  readonly lateRecoveryPerSecond: number;
  /** Fraction of the targets that are unhealthy; the prior for an unobserved target. */
  readonly unhealthyFraction: number;
  /** Probability that an unhealthy target fails a request. */
  readonly failureProbabilityUnhealthy: number;
  /** Probability that a healthy target fails a request. */
  readonly failureProbabilityHealthy: number;
  /** Probability that a request stalls at an unhealthy target, and at a healthy one. */
  readonly stallProbabilityUnhealthy: number;
  readonly stallProbabilityHealthy: number;
  /** Probability that an unhealthy target, and a healthy one, drops an idle connection. */
  readonly dropProbabilityUnhealthy: number;
  readonly dropProbabilityHealthy: number;
}

/**
 * An observation of one request at a target. A stalled request is still running; a dropped one was
 * sent on an idle connection that the target had already closed.
 */
export type Observation = 'good' | 'failed' | 'stalled' | 'dropped';

interface Likelihood {
  readonly unhealthy: number;
  readonly healthy: number;
}

const LIKELIHOODS: Readonly<
  Record<Observation, (parameters: HealthModelParameters) => Likelihood>
> = {
  good: (parameters) => ({
    unhealthy: 1 - parameters.failureProbabilityUnhealthy,
    healthy: 1 - parameters.failureProbabilityHealthy,
  }),
  failed: (parameters) => ({
    unhealthy: parameters.failureProbabilityUnhealthy,
    healthy: parameters.failureProbabilityHealthy,
  }),
  stalled: (parameters) => ({
    unhealthy: parameters.stallProbabilityUnhealthy,
    healthy: parameters.stallProbabilityHealthy,
  }),
  dropped: (parameters) => ({
    unhealthy: parameters.dropProbabilityUnhealthy,
    healthy: parameters.dropProbabilityHealthy,
  }),
};

/** As in a run without injected faults: 9 s episodes, 30% of the time, 3 in 4 requests failed. */
export const DEFAULT_HEALTH_MODEL_PARAMETERS: HealthModelParameters = {
  onsetPerSecond: 0.045,
  earlyRecoveryPerSecond: 0.02,
  lateRecoveryPerSecond: 1,
  unhealthyFraction: 0.3,
  failureProbabilityUnhealthy: 0.75,
  failureProbabilityHealthy: 0.012,
  stallProbabilityUnhealthy: 0.5,
  stallProbabilityHealthy: 0.03,
  dropProbabilityUnhealthy: 0.2,
  dropProbabilityHealthy: 0.04,
};

/** Fraction of the expected episode length after which recovery is likely. */
const RECOVERY_START_FRACTION = 0.95;
/** A failure after this multiple of the expected length belongs to a new episode. */
const NEW_EPISODE_FACTOR = 1.1;
/** Time in which recovery is likely; after it the target has the mean recovery rate. */
const RECOVERY_WINDOW_MILLISECONDS = 4_000;
/** Probability at or below which a target counts as recovered. */
const RECOVERED_PROBABILITY = 0.2;
/** Observations more recent than this take precedence over reports from peers. */
const RECENT_OBSERVATION_MILLISECONDS = 1_000;
/** Probability assigned to a target that a peer reports as unhealthy. */
const PEER_REPORT_PROBABILITY = 0.85;

/** A possible failure episode, and the estimate before its first failure. */
interface SuspectedEpisode {
  /** Monotonic time of the first failure. */
  readonly since: number;
  /** Probability before this failure that the target was unhealthy. */
  readonly prior: number;
  /** Likelihood ratio, unhealthy to healthy, of the observations since then. */
  readonly likelihoodRatio: number;
}

export default class TargetHealthEstimate {
  private probability: number;

  private updatedAt: number;

  private suspectedEpisode: SuspectedEpisode | undefined;

  private lastFailureAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly parameters: HealthModelParameters,
    private readonly episodeLength: EpisodeLength,
    now: number,
  ) {
    this.probability = parameters.unhealthyFraction;
    this.updatedAt = now;
  }

  /** Probability that the target is unhealthy at the given monotonic time in milliseconds. */
  public unhealthyProbabilityAt(now: number): number {
    if (now <= this.updatedAt) return this.probability;
    if (this.suspectedEpisode === undefined) {
      return this.advance(this.probability, now - this.updatedAt, this.meanRecoveryPerSecond);
    }
    const { earlyRecoveryPerSecond, lateRecoveryPerSecond } = this.parameters;
    const recoveryFrom =
      this.suspectedEpisode.since + this.episodeLength.milliseconds * RECOVERY_START_FRACTION;
    const recoveryUntil = recoveryFrom + RECOVERY_WINDOW_MILLISECONDS;
    const between = (from: number, until: number) =>
      Math.max(0, Math.min(now, until) - Math.max(this.updatedAt, from));
    const early = this.advance(
      this.probability,
      between(Number.NEGATIVE_INFINITY, recoveryFrom),
      earlyRecoveryPerSecond,
    );
    const late = this.advance(early, between(recoveryFrom, recoveryUntil), lateRecoveryPerSecond);
    return this.advance(
      late,
      between(recoveryUntil, Number.POSITIVE_INFINITY),
      this.meanRecoveryPerSecond,
    );
  }

  /** Probability that the next request fails. */
  public failureProbabilityAt(now: number): number {
    const { failureProbabilityUnhealthy, failureProbabilityHealthy } = this.parameters;
    const unhealthy = this.unhealthyProbabilityAt(now);
    return unhealthy * failureProbabilityUnhealthy + (1 - unhealthy) * failureProbabilityHealthy;
  }

  /** Monotonic time of the last observation, by this daemon or a peer. */
  public get lastObservedAt(): number {
    return this.updatedAt;
  }

  /** Monotonic time of the last observed failure. */
  public get failedAt(): number {
    return this.lastFailureAt;
  }

  /** Monotonic time at which the current suspected episode began, if there is one. */
  public get suspectedSince(): number | undefined {
    return this.suspectedEpisode?.since;
  }

  /**
   * Updates the estimate with an observation. Whether a request fails is decided when the target
   * starts it, so a good answer is evidence for that moment and not for the time since.
   *
   * @param startedAt - monotonic time at which the request was sent
   */
  public observe(now: number, observation: Observation, startedAt = now): void {
    const { suspectedEpisode: episode } = this;
    if (observation === 'failed') this.lastFailureAt = now;
    if (observation === 'good' && episode !== undefined && startedAt < episode.since) {
      this.boundOnset(now, episode, startedAt);
      return;
    }
    const prior = this.unhealthyProbabilityAt(now);
    const { unhealthy, healthy } = LIKELIHOODS[observation](this.parameters);
    const likelihoodRatio = unhealthy / healthy;
    if (episode !== undefined) {
      const since = observation === 'failed' ? this.episodeStart(now, episode) : episode.since;
      this.suspectedEpisode = {
        ...episode,
        since,
        likelihoodRatio: episode.likelihoodRatio * likelihoodRatio,
      };
    } else if (observation === 'failed') {
      this.suspectedEpisode = { since: now, prior, likelihoodRatio };
    }
    this.probability = posterior(prior, likelihoodRatio);
    this.updatedAt = now;
    this.updateEpisode(now, observation, episode?.since ?? now);
  }

  /**
   * Applies a peer's report that the target has been unhealthy since the given time, unless this
   * daemon has recent observations of the target.
   */
  public applyUnhealthyReport(now: number, since: number): void {
    if (now - this.updatedAt < RECENT_OBSERVATION_MILLISECONDS) return;
    if (this.unhealthyProbabilityAt(now) >= PEER_REPORT_PROBABILITY) return;
    this.probability = PEER_REPORT_PROBABILITY;
    this.updatedAt = now;
    this.suspectedEpisode ??= { since, prior: PEER_REPORT_PROBABILITY, likelihoodRatio: 1 };
  }

  /** The target was healthy at `startedAt`, which leaves less time for the onset before `since`. */
  private boundOnset(now: number, episode: SuspectedEpisode, startedAt: number): void {
    const { onsetPerSecond, failureProbabilityHealthy } = this.parameters;
    const seconds = (episode.since - startedAt) / MILLISECONDS_PER_SECOND;
    const prior = 1 - Math.exp(-onsetPerSecond * seconds);
    if (prior >= episode.prior) return;
    const bounded = {
      ...episode,
      prior: Math.max(prior, failureProbabilityHealthy * onsetPerSecond),
    };
    this.suspectedEpisode = bounded;
    this.probability = posterior(bounded.prior, bounded.likelihoodRatio);
    this.updatedAt = now;
    if (this.probability <= RECOVERED_PROBABILITY) this.suspectedEpisode = undefined;
  }

  /**
   * Start of the episode that a failure belongs to. Failures long after `since` belong to a new
   * episode that followed the first one.
   */
  private episodeStart(now: number, { since }: SuspectedEpisode): number {
    const length = this.episodeLength.milliseconds;
    return now - since > length * NEW_EPISODE_FACTOR
      ? Math.max(since + length, now - length / 2)
      : since;
  }

  private updateEpisode(now: number, observation: Observation, since: number): void {
    const { suspectedEpisode } = this;
    if (suspectedEpisode === undefined) return;
    const age = now - since;
    if (observation === 'failed') this.episodeLength.recordFailure(age);
    if (this.probability > RECOVERED_PROBABILITY) return;
    if (observation === 'good') this.episodeLength.recordRecovery(age);
    this.suspectedEpisode = undefined;
  }

  /** The probability after a time without observations. */
  private advance(probability: number, milliseconds: number, recoveryPerSecond: number): number {
    const { onsetPerSecond } = this.parameters;
    const rate = onsetPerSecond + recoveryPerSecond;
    const limit = onsetPerSecond / rate;
    const decay = Math.exp((-rate * milliseconds) / MILLISECONDS_PER_SECOND);
    return limit + (probability - limit) * decay;
  }

  /** Recovery rate at which the fraction of unhealthy targets stays constant. */
  private get meanRecoveryPerSecond(): number {
    const { onsetPerSecond, unhealthyFraction } = this.parameters;
    return (onsetPerSecond * (1 - unhealthyFraction)) / unhealthyFraction;
  }
}

/** Posterior probability by Bayes' rule in odds form. */
function posterior(prior: number, likelihoodRatio: number): number {
  const odds = (prior / Math.max(1e-9, 1 - prior)) * likelihoodRatio;
  return odds / (1 + odds);
}
