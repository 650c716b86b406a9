/**
 * What each priority of a service asked and had admitted of late. More urgent requests come first;
 * the least urgent keep a small share, so that no kind of request is shut out for long.
 */
import DecayingCount from './DecayingCount.js';

/** Time constant of the shares. */
const DECAY_MILLISECONDS = 5_000;
/**
 * A priority has at least this part of the share that all have. Both are shares of attempts; callers
 * return several times, so that the shares of their requests lie closer together.
 */
const FLOOR = 0.15;
/** With less than this asked, a share says nothing. */
const MINIMUM_ASKED = 3;
/** A priority that nobody asked for lately is forgotten. */
const FORGOTTEN_ASKED = 0.01;

interface Use {
  readonly asked: DecayingCount;
  readonly admitted: DecayingCount;
}

export default class PriorityShares {
  private readonly uses = new Map<number, Use>();

  private readonly total = createUse();

  public recordAsked(priority: number, now: number): void {
    const use = this.uses.get(priority) ?? createUse();
    this.uses.set(priority, use);
    use.asked.add(now);
    this.total.asked.add(now);
  }

  public recordAdmitted(priority: number, now: number): void {
    this.uses.get(priority)?.admitted.add(now);
    this.total.admitted.add(now);
  }

  /** Takes back what was asked by a caller that left before the decision. */
  public recordCancelled(priority: number, now: number): void {
    this.uses.get(priority)?.asked.add(now, -1);
    this.total.asked.add(now, -1);
  }

  /** Position of a priority among those in use: 0 for the most urgent, 1 for the least. */
  public positionOf(priority: number, now: number): number {
    const inUse = this.inUse(now);
    const moreUrgent = inUse.filter((other) => other < priority).length;
    return inUse.length < 2 ? 1 : Math.min(1, moreUrgent / (inUse.length - 1));
  }

  /** Whether a priority has less than its floor, so that it comes first. */
  public isBelowFloor(priority: number, now: number): boolean {
    const use = this.uses.get(priority);
    if (use === undefined || use.asked.at(now) < MINIMUM_ASKED) return false;
    const total = this.total.asked.at(now);
    if (total <= 0 || this.positionOf(priority, now) === 0) return false;
    const share = use.admitted.at(now) / use.asked.at(now);
    return share < (FLOOR * this.total.admitted.at(now)) / total;
  }

  /** Requests per millisecond that were asked at more urgent priorities. */
  public moreUrgentRateOf(priority: number, now: number): number {
    return (
      [...this.uses]
        .filter(([other]) => other < priority)
        .reduce((sum, [, { asked }]) => sum + asked.at(now), 0) / DECAY_MILLISECONDS
    );
  }

  private inUse(now: number): readonly number[] {
    const [forgotten, inUse] = [[] as number[], [] as number[]];
    this.uses.forEach(({ asked }, priority) =>
      (asked.at(now) < FORGOTTEN_ASKED ? forgotten : inUse).push(priority),
    );
    forgotten.forEach((priority) => this.uses.delete(priority));
    return inUse;
  }
}

function createUse(): Use {
  return {
    asked: new DecayingCount(DECAY_MILLISECONDS),
    admitted: new DecayingCount(DECAY_MILLISECONDS),
  };
}
