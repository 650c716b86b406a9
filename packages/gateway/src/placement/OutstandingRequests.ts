/** Numbers of requests running or queued at each target, by the daemon that sent them. */

interface TargetLoad {
  /** Requests at the target that neither this daemon nor its peers account for. */
  readonly unattributed: number;
  readonly recordedAt: number;
}

/** The load that a target reports decays linearly to zero within this time. */
const TARGET_LOAD_DECAY_MILLISECONDS = 1_000;

export default class OutstandingRequests {
  private readonly ownCounts = new Map<string, number>();

  private readonly peerCounts = new Map<string, Map<string, number>>();

  private readonly peerTotals = new Map<string, number>();

  private readonly targetLoads = new Map<string, TargetLoad>();

  /** Counts a started (1) or ended (-1) request of this daemon; returns the new count. */
  public add(target: string, change: 1 | -1): number {
    const count = Math.max(0, (this.ownCounts.get(target) ?? 0) + change);
    if (count === 0) this.ownCounts.delete(target);
    else this.ownCounts.set(target, count);
    return count;
  }

  /** Outstanding requests of this daemon by target. */
  public listOwn(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.ownCounts);
  }

  /** Outstanding requests of this daemon at a target. */
  public ownAt(target: string): number {
    return this.ownCounts.get(target) ?? 0;
  }

  /** Sets the number of a peer's outstanding requests at a target. */
  public setPeerCount(peer: string, target: string, count: number): void {
    const counts = this.peerCounts.get(peer) ?? new Map<string, number>();
    this.peerCounts.set(peer, counts);
    const change = count - (counts.get(target) ?? 0);
    if (count === 0) counts.delete(target);
    else counts.set(target, count);
    this.changeTotal(target, change);
  }

  /** Replaces all counts of a peer; the counts of targets that are not listed become 0. */
  public replacePeerCounts(peer: string, counts: Readonly<Record<string, number>>): void {
    const before = [...(this.peerCounts.get(peer)?.keys() ?? [])];
    before
      .filter((target) => counts[target] === undefined)
      .forEach((target) => {
        this.setPeerCount(peer, target, 0);
      });
    Object.entries(counts).forEach(([target, count]) => this.setPeerCount(peer, target, count));
  }

  /** Removes a peer and its counts. */
  public forgetPeer(peer: string): void {
    this.replacePeerCounts(peer, {});
    this.peerCounts.delete(peer);
  }

  public forgetTarget(target: string): void {
    this.targetLoads.delete(target);
  }

  /** Records the number of running and queued requests that the target reported. */
  public recordLoad(target: string, requests: number, now: number): void {
    const unattributed = Math.max(0, requests - this.attributed(target));
    this.targetLoads.set(target, { unattributed, recordedAt: now });
  }

  /** Requests running or queued at the target, as far as known here. */
  public countAt(target: string, now: number): number {
    return this.attributed(target) + this.unattributed(target, now);
  }

  /**
   * Requests at the target by what it reported last, without decay; undefined if it reported nothing
   * since the given monotonic time.
   */
  public reportedCountAt(target: string, since: number): number | undefined {
    const load = this.targetLoads.get(target);
    if (load === undefined || load.recordedAt < since) return undefined;
    return this.attributed(target) + load.unattributed;
  }

  private attributed(target: string): number {
    return (this.ownCounts.get(target) ?? 0) + (this.peerTotals.get(target) ?? 0);
  }

  private unattributed(target: string, now: number): number {
    const load = this.targetLoads.get(target);
    if (load === undefined) return 0;
    const weight = 1 - (now - load.recordedAt) / TARGET_LOAD_DECAY_MILLISECONDS;
    return load.unattributed * Math.max(0, weight);
  }

  private changeTotal(target: string, change: number): void {
    const total = (this.peerTotals.get(target) ?? 0) + change;
    if (total <= 0) this.peerTotals.delete(target);
    else this.peerTotals.set(target, total);
  }
}
