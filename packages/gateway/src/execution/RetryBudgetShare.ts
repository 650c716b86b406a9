/**
 * The share of one service's retry budget that this daemon may spend. The budget of the fleet in a
 * sliding window is `ratio` times the requests plus a fixed number of retries. Two limits apply
 * together: the daemons of a region report their attempts to each other and stop when the region
 * has spent its part, and every daemon has a token bucket that gains `ratio` tokens per request.
 * Without reports from peers the bucket holds only this daemon's share of the fixed retries, so
 * that the budget holds even if no message arrives.
 */
import type { Clock } from '@cactusrun/core';
import TokenBucket from '../limits/TokenBucket.js';

/** Fraction of the fixed retries to distribute; the rest covers new buckets after restarts. */
const DISTRIBUTED_FRACTION = 0.6;
/** Capacity of the bucket, in shares, while peers report their attempts. */
const CAPACITY_SHARES = 6;
/** Fraction of a region's budget that is spent; the rest covers attempts reported too late. */
const REGION_FRACTION = 0.8;
const INTERVAL_MILLISECONDS = 1_000;
/** After this time without a report from a peer the bucket holds only the own share. */
const PEER_REPORT_TIMEOUT_MILLISECONDS = 3_000;

export interface RetryBudgetLimits {
  /** Retries per request. */
  readonly ratio: number;
  /** Fixed number of retries per window in addition, for the whole fleet. */
  readonly fixedRetries: number;
  readonly windowMilliseconds: number;
  /** Number of regions; daemons report attempts only within their region. */
  readonly regions: number;
}

/** First attempts and retries in one interval of the sliding window. */
interface WindowInterval {
  readonly number: number;
  requests: number;
  retries: number;
}

export default class RetryBudgetShare {
  private readonly bucket: TokenBucket;

  private intervals: readonly WindowInterval[] = [];

  private lastPeerReportAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly limits: RetryBudgetLimits,
    private readonly countMembers: () => number,
    private readonly clock: Clock,
  ) {
    this.bucket = new TokenBucket(this.ownShare);
  }

  /** Counts the first attempt of a request of this daemon, and adds tokens for it. */
  public deposit(): void {
    const hasPeerReports =
      this.clock.now() - this.lastPeerReportAt < PEER_REPORT_TIMEOUT_MILLISECONDS;
    const capacity = this.ownShare * (hasPeerReports ? CAPACITY_SHARES : 1);
    this.bucket.add(this.limits.ratio, capacity);
    this.currentInterval().requests += 1;
  }

  /** Takes a token for one retry; returns whether the retry is allowed. */
  public withdraw(): boolean {
    if (this.bucket.available < 1 || this.isRegionBudgetSpent()) return false;
    this.bucket.take();
    this.currentInterval().retries += 1;
    return true;
  }

  /** Counts an attempt that a peer of the region reported. */
  public recordPeerAttempt(isRetry: boolean): void {
    this.lastPeerReportAt = this.clock.now();
    if (isRetry) this.currentInterval().retries += 1;
    else this.currentInterval().requests += 1;
  }

  private isRegionBudgetSpent(): boolean {
    const { ratio, fixedRetries, regions, windowMilliseconds } = this.limits;
    const oldest = this.intervalNumber() - Math.ceil(windowMilliseconds / INTERVAL_MILLISECONDS);
    const recent = this.intervals.filter(({ number }) => number >= oldest);
    const requests = recent.reduce((sum, interval) => sum + interval.requests, 0);
    const retries = recent.reduce((sum, interval) => sum + interval.retries, 0);
    return retries + 1 > REGION_FRACTION * (ratio * requests + fixedRetries / Math.max(1, regions));
  }

  /** The current interval; intervals before the window are dropped. */
  private currentInterval(): WindowInterval {
    const number = this.intervalNumber();
    const newest = this.intervals.at(-1);
    if (newest?.number === number) return newest;
    const interval = { number, requests: 0, retries: 0 };
    const oldest = number - Math.ceil(this.limits.windowMilliseconds / INTERVAL_MILLISECONDS);
    this.intervals = [...this.intervals.filter((earlier) => earlier.number >= oldest), interval];
    return interval;
  }

  private intervalNumber(): number {
    return Math.floor(this.clock.now() / INTERVAL_MILLISECONDS);
  }

  private get ownShare(): number {
    const share =
      (this.limits.fixedRetries * DISTRIBUTED_FRACTION) / Math.max(1, this.countMembers());
    return Math.max(1, share);
  }
}
