/**
 * What a target is compared with: how its peers do. Two estimates are kept, and the one more
 * favourable to the target counts: the middle of the peers' own slow means, which one sick peer
 * cannot move, and a fast mean over all that the peers do now, which follows within some tens of
 * requests when everything turns slow or fails together.
 */
import FadingMean from './FadingMean.js';
import medianOf from './medianOf.js';

const SLOW_WEIGHT = 0.05;
const FAST_WEIGHT = 1 / 30;
/** A target is worse than its peers when it exceeds them by this factor. */
const WORSE_FACTOR = 1.5;
/** Failures beyond the peers' share that a healthy target may have. */
const FAILURE_TOLERANCE = 0.02;
/** Peers' requests needed before the fast mean counts. */
const FAST_SAMPLES = 10;
const MOST = 0.5;

interface Entry {
  readonly duration: FadingMean;
  readonly failures: FadingMean;
  /** Of the peers: mean logarithm of the durations. */
  readonly peersDuration: FadingMean;
  readonly peersFailures: FadingMean;
}

export default class PeerBaseline {
  private readonly entries = new Map<string, Entry>();

  /** Of all targets together: the share of requests that fail or are overdue now. */
  private readonly recentTrouble = new FadingMean(FAST_WEIGHT);

  /** @param firstMilliseconds - the duration assumed before anything is known */
  constructor(private readonly firstMilliseconds: number) {}

  public add(target: string): void {
    this.entries.set(target, {
      duration: new FadingMean(SLOW_WEIGHT),
      failures: new FadingMean(SLOW_WEIGHT),
      peersDuration: new FadingMean(FAST_WEIGHT),
      peersFailures: new FadingMean(FAST_WEIGHT),
    });
  }

  public remove(target: string): void {
    this.entries.delete(target);
  }

  /** A request of the target ended well. */
  public noteDuration(target: string, milliseconds: number): void {
    this.entries.get(target)?.duration.add(milliseconds);
    this.tellPeers(target, (peer) => peer.peersDuration.add(Math.log(Math.max(1, milliseconds))));
  }

  /** Whether the target does worse than its peers do now, as far as its own mean values tell. */
  public isWorseThanPeers(target: string): boolean {
    const isSlower = this.meanMilliseconds(target) > WORSE_FACTOR * this.peerMilliseconds(target);
    const rate = this.peerFailureRate(target);
    return isSlower || this.failureRate(target) > WORSE_FACTOR * rate + FAILURE_TOLERANCE;
  }

  /** A request of the target runs for this long already: its duration is at least as long. */
  public noteOverdue(target: string, milliseconds: number): void {
    this.recentTrouble.add(1);
    this.entries.get(target)?.duration.add(milliseconds);
    this.tellPeers(target, (peer) => peer.peersDuration.add(Math.log(Math.max(1, milliseconds))));
  }

  public noteOutcome(target: string, isFailure: boolean): void {
    const value = isFailure ? 1 : 0;
    this.recentTrouble.add(value);
    this.entries.get(target)?.failures.add(value);
    this.tellPeers(target, (peer) => peer.peersFailures.add(value));
  }

  /** Whether most requests fail or are overdue, whichever target they go to. */
  public get isMostlyTrouble(): boolean {
    return this.recentTrouble.samples >= FAST_SAMPLES && this.recentTrouble.value > MOST;
  }

  /** The duration that the target is compared with, in milliseconds. */
  public peerMilliseconds(target: string): number {
    const own = this.entries.get(target);
    const slow = this.peersOf(target)
      .filter((peer) => peer.duration.samples > 0)
      .map((peer) => peer.duration.value);
    if (slow.length === 0) return own?.duration.value || this.firstMilliseconds;
    const { peersDuration } = own ?? { peersDuration: new FadingMean(FAST_WEIGHT) };
    const fast = peersDuration.samples >= FAST_SAMPLES ? Math.exp(peersDuration.value) : 0;
    return Math.max(medianOf(slow), fast);
  }

  /** The share of failures that the target is compared with. */
  public peerFailureRate(target: string): number {
    const own = this.entries.get(target);
    const slow = medianOf(this.peersOf(target).map((peer) => peer.failures.value));
    const hasFast = own !== undefined && own.peersFailures.samples >= FAST_SAMPLES;
    return Math.max(slow, hasFast ? own.peersFailures.value : 0);
  }

  public meanMilliseconds(target: string): number {
    return this.entries.get(target)?.duration.value ?? 0;
  }

  public failureRate(target: string): number {
    return this.entries.get(target)?.failures.value ?? 0;
  }

  public samples(target: string): number {
    return this.entries.get(target)?.failures.samples ?? 0;
  }

  private peersOf(target: string): readonly Entry[] {
    return [...this.entries].filter(([name]) => name !== target).map(([, entry]) => entry);
  }

  private tellPeers(target: string, tell: (peer: Entry) => void): void {
    this.entries.forEach((entry, name) => {
      if (name !== target) tell(entry);
    });
  }
}
