/**
 * The use of one workspace's quota that one source reports as a cumulative count, and how fast it
 * grows. A source is a peer of the region, or another region. Reports that are lost, late or repeated
 * do no harm: the next count that arrives contains them.
 */
import type { UseReporter, WorkspaceUse } from '../fleet/PeerMessage.js';

/** A lower count is a late report within this time; afterwards the reporter has begun anew. */
const LATE_MILLISECONDS = 30_000;
/** Time over which the rate is averaged, and in which it decays without reports. */
const RATE_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1_000;

export default class UseSeries {
  private reporter: UseReporter | undefined;

  private count = 0;

  private updatedAt = 0;

  /** Requests per millisecond at the last report. */
  private rate = 0;

  /**
   * Applies a report.
   *
   * @param now - monotonic time
   * @returns the number of requests that are news
   */
  public apply(reporter: UseReporter, use: WorkspaceUse, now: number): number {
    const news = this.newsOf(reporter, use, now);
    if (news === undefined) return 0;
    this.rate = this.rate * this.decayAt(now) + news / RATE_MILLISECONDS;
    this.reporter = reporter;
    this.count = use.count;
    this.updatedAt = now;
    return news;
  }

  /** The requests expected between two monotonic times, of which the first is after the last report. */
  public expectedBetween(from: number, to: number): number {
    return this.rate * RATE_MILLISECONDS * (this.decayAt(from) - this.decayAt(to));
  }

  /** The requests expected since the last report. */
  public expectedSoFar(now: number): number {
    return this.expectedBetween(this.updatedAt, now);
  }

  /** Requests a second at a monotonic time, as far as is known. */
  public rateAt(now: number): number {
    return this.rate * this.decayAt(now) * MILLISECONDS_PER_SECOND;
  }

  private decayAt(now: number): number {
    return Math.exp(-Math.max(0, now - this.updatedAt) / RATE_MILLISECONDS);
  }

  /** Undefined for a report that is older than what is known. */
  private newsOf(
    { name, incarnation }: UseReporter,
    { count, recent }: WorkspaceUse,
    now: number,
  ): number | undefined {
    const known = this.reporter;
    if (known?.name !== name || incarnation > known.incarnation) return recent;
    if (incarnation < known.incarnation) return undefined;
    if (count >= this.count) return count - this.count;
    return now - this.updatedAt > LATE_MILLISECONDS ? count : undefined;
  }
}
