/**
 * Durations and failure rates that a target is compared with. Of two estimates, the one more
 * favourable to the target is used: the median of the slow means of its peers, which one unhealthy
 * peer cannot shift, and a fast mean over all requests to the peers, which follows within some tens
 * of requests when all targets slow down or fail together.
 */
import DecayingMean from './DecayingMean.js';
import medianOf from './medianOf.js';

const SLOW_MEAN_WEIGHT = 0.05;
const FAST_MEAN_WEIGHT = 1 / 30;
/** A target is worse than its peers when it exceeds them by this factor. */
const WORSE_FACTOR = 1.5;
/** Failure rate above that of its peers that a healthy target may have. */
const FAILURE_TOLERANCE = 0.02;
/** Requests to the peers needed before the fast mean is used. */
const MINIMUM_SAMPLES = 10;
const MAJORITY = 0.5;

interface TargetStatistics {
  readonly duration: DecayingMean;
  readonly failures: DecayingMean;
  /** Mean logarithm of the durations at the peers, in milliseconds. */
  readonly peersLogDuration: DecayingMean;
  readonly peersFailures: DecayingMean;
}

export default class PeerBaseline {
  private readonly statistics = new Map<string, TargetStatistics>();

  /** Rate of failed and overdue requests over all targets. */
  private readonly recentFailures = new DecayingMean(FAST_MEAN_WEIGHT);

  /** @param initialMilliseconds - the expected duration before the first answer */
  constructor(private readonly initialMilliseconds: number) {}

  public add(target: string): void {
    this.statistics.set(target, {
      duration: new DecayingMean(SLOW_MEAN_WEIGHT),
      failures: new DecayingMean(SLOW_MEAN_WEIGHT),
      peersLogDuration: new DecayingMean(FAST_MEAN_WEIGHT),
      peersFailures: new DecayingMean(FAST_MEAN_WEIGHT),
    });
  }

  public remove(target: string): void {
    this.statistics.delete(target);
  }

  /** Records a successful request. */
  public recordDuration(target: string, milliseconds: number): void {
    this.statistics.get(target)?.duration.add(milliseconds);
    this.updatePeers(target, (peer) =>
      peer.peersLogDuration.add(Math.log(Math.max(1, milliseconds))),
    );
  }

  /** Whether the mean duration or failure rate of the target is worse than that of its peers. */
  public isWorseThanPeers(target: string): boolean {
    const isSlower = this.meanMilliseconds(target) > WORSE_FACTOR * this.peerMilliseconds(target);
    const rate = this.peerFailureRate(target);
    return isSlower || this.failureRate(target) > WORSE_FACTOR * rate + FAILURE_TOLERANCE;
  }

  /** Records the elapsed time of a running request as a lower bound of its duration. */
  public recordOverdue(target: string, milliseconds: number): void {
    this.recentFailures.add(1);
    this.statistics.get(target)?.duration.add(milliseconds);
    this.updatePeers(target, (peer) =>
      peer.peersLogDuration.add(Math.log(Math.max(1, milliseconds))),
    );
  }

  public recordOutcome(target: string, isFailure: boolean): void {
    const value = isFailure ? 1 : 0;
    this.recentFailures.add(value);
    this.statistics.get(target)?.failures.add(value);
    this.updatePeers(target, (peer) => peer.peersFailures.add(value));
  }

  /** Whether most requests fail or are overdue, whichever target they go to. */
  public get isMajorityFailing(): boolean {
    return this.recentFailures.samples >= MINIMUM_SAMPLES && this.recentFailures.value > MAJORITY;
  }

  /** The duration that the target is compared with, in milliseconds. */
  public peerMilliseconds(target: string): number {
    const own = this.statistics.get(target);
    const slow = this.peersOf(target)
      .filter((peer) => peer.duration.samples > 0)
      .map((peer) => peer.duration.value);
    if (slow.length === 0) return own?.duration.value || this.initialMilliseconds;
    const { peersLogDuration } = own ?? { peersLogDuration: new DecayingMean(FAST_MEAN_WEIGHT) };
    const fast = peersLogDuration.samples >= MINIMUM_SAMPLES ? Math.exp(peersLogDuration.value) : 0;
    return Math.max(medianOf(slow), fast);
  }

  /** The failure rate that the target is compared with. */
  public peerFailureRate(target: string): number {
    const own = this.statistics.get(target);
    const slow = medianOf(this.peersOf(target).map((peer) => peer.failures.value));
    const hasFast = own !== undefined && own.peersFailures.samples >= MINIMUM_SAMPLES;
    return Math.max(slow, hasFast ? own.peersFailures.value : 0);
  }

  public meanMilliseconds(target: string): number {
    return this.statistics.get(target)?.duration.value ?? 0;
  }

  public failureRate(target: string): number {
    return this.statistics.get(target)?.failures.value ?? 0;
  }

  public samples(target: string): number {
    return this.statistics.get(target)?.failures.samples ?? 0;
  }

  private peersOf(target: string): readonly TargetStatistics[] {
    return [...this.statistics].filter(([name]) => name !== target).map(([, peer]) => peer);
  }

  private updatePeers(target: string, update: (peer: TargetStatistics) => void): void {
    this.statistics.forEach((peer, name) => {
      if (name !== target) update(peer);
    });
  }
}
