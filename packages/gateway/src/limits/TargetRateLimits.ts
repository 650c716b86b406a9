/**
 * The rate limits that targets state in their answers: how many requests a second each takes from
 * the whole fleet. The attempts of this daemon and those that peers report are counted against the
 * same token bucket for each target, which gains tokens at this daemon's part of the limit. A limit
 * lasts until the target answers without one, also while its registry entry is missing.
 */
import type { Clock, Counters, Logger, Random } from '@cactusrun/core';
import type { RateLimitReport } from '../fleet/PeerMessage.js';
import type { TargetEntry } from '../state/TargetEntry.js';
import type { RequestRate } from '../state/TargetStatement.js';
import type RateLimitShare from './RateLimitShare.js';
import TokenBucket from './TokenBucket.js';

interface TargetRateLimit {
  readonly rate: RequestRate;
  /** Monotonic time since which all answers have stated a limit. */
  readonly limitedSince: number;
  /** Monotonic time of the newest answer. */
  readonly statedAt: number;
  readonly bucket: TokenBucket;
  /** Monotonic time up to which the bucket has gained tokens. */
  readonly refilledAt: number;
  /** Tokens at which this daemon may send its next attempt. */
  readonly threshold: number;
}

const MILLISECONDS_PER_SECOND = 1_000;
/** Rate of attempts at a target that takes none, to learn when that ends. */
const MINIMUM_RATE_PER_SECOND = 0.1;
/** Tokens that collect while there are no requests: those of this time, and at least the minimum. */
const CAPACITY_SECONDS = 1;
const MINIMUM_CAPACITY_TOKENS = 2;
/**
 * Range of the threshold above one token. It differs between daemons, so that they do not all use
 * the same token before they hear of each other.
 */
const THRESHOLD_RANGE_TOKENS = 1;
/** Attempts beyond the limit are made up for at most this long. */
const DEBT_SECONDS = 4;
/** Peers are told of a lifted limit for this long, in case they missed it. */
const LIFTED_REPORT_MILLISECONDS = 30_000;
/** A limit that no answer has stated for this long is forgotten. */
const RETENTION_MILLISECONDS = 600_000;

export interface TargetRateLimitsParts {
  readonly share: Pick<RateLimitShare, 'of'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class TargetRateLimits {
  private readonly limits = new Map<string, TargetRateLimit>();

  constructor(private readonly parts: TargetRateLimitsParts) {}

  /**
   * Records what an answer of a target states.
   *
   * @param startedAt - monotonic time at which the answered attempt started
   * @param source - `own`, or the peer that received the answer
   * @returns whether peers need to know
   */
  public observe(target: string, rate: RequestRate, startedAt: number, source: string): boolean {
    const limit = this.limits.get(target);
    // An answer to an earlier request may have been sent before the target stated its limit.
    const isLimited = limit !== undefined && limit.rate !== 'unlimited';
    const endsLimit = isLimited && startedAt >= limit.limitedSince;
    if (rate === 'unlimited' && !endsLimit) return false;
    this.setRate(target, rate, this.parts.clock.now(), source);
    return true;
  }

  /** Applies what a peer knows; the newest statement of a target holds. */
  public applyReports(reports: readonly RateLimitReport[], peer: string): void {
    const now = this.parts.clock.now();
    reports.forEach(({ target, rate, ageMilliseconds }) => {
      const statedAt = now - ageMilliseconds;
      if (statedAt <= (this.limits.get(target)?.statedAt ?? Number.NEGATIVE_INFINITY)) return;
      this.setRate(target, rate, statedAt, peer);
    });
  }

  /** The limits in force and those lifted recently, for peers. */
  public reports(): readonly RateLimitReport[] {
    const now = this.parts.clock.now();
    return [...this.limits]
      .map(([target, { rate, statedAt }]) => ({
        target,
        rate,
        ageMilliseconds: Math.round(now - statedAt),
      }))
      .filter(
        ({ rate, ageMilliseconds }) =>
          rate !== 'unlimited' || ageMilliseconds < LIFTED_REPORT_MILLISECONDS,
      );
  }

  /** Whether this daemon may send an attempt to the target now. */
  public hasRoom(entry: TargetEntry): boolean {
    const limit = this.refill(entry);
    return limit === undefined || limit.bucket.available >= limit.threshold;
  }

  /** Counts an attempt of this daemon, or of a peer, against the limit of its target. */
  public recordAttempt(entry: TargetEntry): void {
    const limit = this.refill(entry);
    if (limit === undefined) return;
    limit.bucket.take(Math.max(1, limit.rate * DEBT_SECONDS));
    this.limits.set(entry.id, { ...limit, threshold: this.drawThreshold() });
  }

  /** Adds the tokens gained until now; undefined without a limit. */
  private refill({ id, zone }: TargetEntry): (TargetRateLimit & { rate: number }) | undefined {
    const limit = this.limits.get(id);
    if (limit === undefined || limit.rate === 'unlimited') return undefined;
    const now = this.parts.clock.now();
    const rate = Math.max(MINIMUM_RATE_PER_SECOND, limit.rate) * this.parts.share.of(zone);
    const seconds = (now - limit.refilledAt) / MILLISECONDS_PER_SECOND;
    limit.bucket.add(rate * seconds, Math.max(MINIMUM_CAPACITY_TOKENS, rate * CAPACITY_SECONDS));
    const refilled = { ...limit, rate: limit.rate, refilledAt: now };
    this.limits.set(id, refilled);
    return refilled;
  }

  private drawThreshold(): number {
    return 1 + THRESHOLD_RANGE_TOKENS * this.parts.random.unit();
  }

  /** Sets the rate of a target. A new limit starts without tokens: the target is busy already. */
  private setRate(target: string, rate: RequestRate, statedAt: number, source: string): void {
    const now = this.parts.clock.now();
    const before = this.limits.get(target);
    const isContinued = before !== undefined && before.rate !== 'unlimited';
    this.limits.set(target, {
      rate,
      statedAt,
      limitedSince: isContinued ? before.limitedSince : statedAt,
      bucket: isContinued ? before.bucket : new TokenBucket(0),
      refilledAt: isContinued ? before.refilledAt : now,
      threshold: isContinued ? before.threshold : this.drawThreshold(),
    });
    if (rate === before?.rate) return;
    this.forgetOld(now);
    this.parts.counters.add('rate_limits', rate === 'unlimited' ? 'lifted' : 'stated');
    this.parts.logger.info('target-rate-limit', { target, rate, before: before?.rate, source });
  }

  private forgetOld(now: number): void {
    [...this.limits]
      .filter(([, { statedAt }]) => now - statedAt > RETENTION_MILLISECONDS)
      .forEach(([target]) => this.limits.delete(target));
  }
}
