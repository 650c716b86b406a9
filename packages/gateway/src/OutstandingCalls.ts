/** Requests that run or wait at each target, by the daemon that sent them. */

interface SeenLoad {
  /** Requests at the target that no daemon known here has told of. */
  readonly untold: number;
  readonly at: number;
}

/** A target's own word on its load is used up linearly within this time. */
const SEEN_LOAD_MILLISECONDS = 1_000;

export default class OutstandingCalls {
  private readonly own = new Map<string, number>();

  private readonly peers = new Map<string, Map<string, number>>();

  private readonly peerTotals = new Map<string, number>();

  private readonly seen = new Map<string, SeenLoad>();

  /** Counts one request of this daemon in or out. */
  public add(target: string, change: 1 | -1): number {
    const count = Math.max(0, (this.own.get(target) ?? 0) + change);
    if (count === 0) this.own.delete(target);
    else this.own.set(target, count);
    return count;
  }

  /** The requests of this daemon by target. */
  public listOwn(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.own);
  }

  /** The requests of this daemon at a target. */
  public ownAt(target: string): number {
    return this.own.get(target) ?? 0;
  }

  /** A peer told how many of its requests are at a target. */
  public learn(peer: string, target: string, count: number): void {
    const counts = this.peers.get(peer) ?? new Map<string, number>();
    this.peers.set(peer, counts);
    const change = count - (counts.get(target) ?? 0);
    if (count === 0) counts.delete(target);
    else counts.set(target, count);
    this.changeTotal(target, change);
  }

  /** A peer told all of its requests: what it does not name is at no target. */
  public learnAll(peer: string, told: Readonly<Record<string, number>>): void {
    const before = [...(this.peers.get(peer)?.keys() ?? [])];
    before
      .filter((target) => told[target] === undefined)
      .forEach((target) => {
        this.learn(peer, target, 0);
      });
    Object.entries(told).forEach(([target, count]) => this.learn(peer, target, count));
  }

  /** A peer is gone, and its requests with it. */
  public forgetPeer(peer: string): void {
    this.learnAll(peer, {});
    this.peers.delete(peer);
  }

  public forgetTarget(target: string): void {
    this.seen.delete(target);
  }

  /** The target said how many requests it runs and holds. */
  public noteSeen(target: string, requests: number, now: number): void {
    const untold = Math.max(0, requests - this.told(target));
    this.seen.set(target, { untold, at: now });
  }

  /** Requests at the target, as far as known here. */
  public at(target: string, now: number): number {
    return this.told(target) + this.untold(target, now);
  }

  private told(target: string): number {
    return (this.own.get(target) ?? 0) + (this.peerTotals.get(target) ?? 0);
  }

  private untold(target: string, now: number): number {
    const seen = this.seen.get(target);
    if (seen === undefined) return 0;
    const left = 1 - (now - seen.at) / SEEN_LOAD_MILLISECONDS;
    return seen.untold * Math.max(0, left);
  }

  private changeTotal(target: string, change: number): void {
    const total = (this.peerTotals.get(target) ?? 0) + change;
    if (total <= 0) this.peerTotals.delete(target);
    else this.peerTotals.set(target, total);
  }
}
