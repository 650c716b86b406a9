/**
 * Divides one workspace's quota between regions, which hear of each other's use after some tenths of a
 * second. A region may use what the others leave, and at least its equal part of the rate; without
 * word from another region, its part is left to it. The burst is divided by recent use.
 */
import type { UseReporter, WorkspaceUse } from '../fleet/PeerMessage.js';
import type { RequestQuota } from '../workspaces/Workspace.js';
import UseSeries from './UseSeries.js';

/** Time in which uses known late are taken off the drain. */
const CATCH_UP_MILLISECONDS = 300;
/** Time over which the use of regions is compared. */
const COMPARISON_MILLISECONDS = 30_000;
/** Seconds of the rate that each region is taken to have used anyway, in the comparison. */
const PRIOR_SECONDS = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;

/** Decaying sums of the uses of this region and of the others. */
interface UseSums {
  readonly own: number;
  readonly others: number;
  readonly at: number;
}

export default class RegionParts {
  private readonly others = new Map<string, UseSeries>();

  /** Uses of other regions beyond those that were expected; negative for fewer. */
  private owed = 0;

  private sums: UseSums = { own: 0, others: 0, at: 0 };

  /** @param regions - number of regions of the fleet */
  constructor(private readonly regions: number) {}

  /** Records uses of the own region; without word from the others they say nothing of its part. */
  public recordOwn(requests: number, now: number, lentParts: number): void {
    if (lentParts + 1 < this.regions) return;
    const sums = this.sumsAt(now);
    this.sums = { ...sums, own: sums.own + requests };
  }

  /** Records what another region reports. */
  public recordOther(region: string, reporter: UseReporter, use: WorkspaceUse, now: number): void {
    const series = this.others.get(region) ?? new UseSeries();
    this.others.set(region, series);
    const expected = series.expectedSoFar(now);
    const news = series.apply(reporter, use, now);
    this.owed += news - expected;
    const sums = this.sumsAt(now);
    this.sums = { ...sums, others: sums.others + news };
  }

  /** The part of the burst for this region, from 0 to 1. */
  public burstPart({ requestsPerSecond }: RequestQuota, now: number): number {
    const { own, others } = this.sumsAt(now);
    const prior = requestsPerSecond * PRIOR_SECONDS;
    return (own + prior) / (own + others + prior * this.regions);
  }

  /** Requests a second that this region may send now. */
  public rateAt(requestsPerSecond: number, lentParts: number, now: number): number {
    const used = this.list().reduce((sum, series) => sum + series.rateAt(now), 0);
    const lent = (requestsPerSecond * lentParts) / this.regions;
    return requestsPerSecond / this.regions + Math.max(0, lent - used);
  }

  /**
   * The requests that this region may send for a time, less those that others use meanwhile.
   *
   * @param mostOwed - uses known late that are made up for at most
   */
  public take(
    requestsPerSecond: number,
    lentParts: number,
    [from, to]: readonly [number, number],
    mostOwed: number,
  ): number {
    const total = (requestsPerSecond * (to - from)) / MILLISECONDS_PER_SECOND;
    const equalPart = total / this.regions;
    const lent = equalPart * lentParts;
    const expected = this.list().reduce((sum, one) => sum + one.expectedBetween(from, to), 0);
    const catchUp = this.owed * (1 - Math.exp((from - to) / CATCH_UP_MILLISECONDS));
    const charged = Math.max(0, Math.min(lent, expected + catchUp));
    const owed = this.owed + expected - charged;
    this.owed = Math.max(-mostOwed, Math.min(mostOwed, owed));
    return equalPart + lent - charged;
  }

  private list(): readonly UseSeries[] {
    return [...this.others.values()];
  }

  private sumsAt(now: number): UseSums {
    const decay = Math.exp(-(now - this.sums.at) / COMPARISON_MILLISECONDS);
    return { own: this.sums.own * decay, others: this.sums.others * decay, at: now };
  }
}
