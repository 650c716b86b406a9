/**
 * Measures how much of one workspace's quota is used up: a leaky bucket that every request of the
 * fleet fills and that drains at the part of the rate that this region may use now. Uses of the own
 * region fill it at once. The rate at which other regions use the quota is taken off the drain, but
 * never more than they were lent: each region keeps its equal part of the rate.
 */
import type { UseReporter, WorkspaceUse } from '../fleet/PeerMessage.js';
import type { RequestQuota } from '../workspaces/Workspace.js';
import type { QuotaBounds } from './QuotaBounds.js';
import { toleratedExcess } from './QuotaBounds.js';
import RegionParts from './RegionParts.js';
import UseSeries from './UseSeries.js';

/** What a daemon knows of the others when it decides. */
export interface QuotaView {
  readonly bounds: QuotaBounds;
  /** Monotonic time since which this process counts. */
  readonly startedAt: number;
  readonly regions: number;
  /** Part of its region's limit that this daemon may use, from 0 to 1. */
  daemonPart(): number;
  /** Equal parts of the other regions that this one may use as far as they leave them. */
  lentParts(): number;
}

/**
 * Part of the tolerated excess that the capacity may use; the rest covers what is known late, which
 * is little for a low rate.
 */
const HEAD_ROOM_FRACTION = 0.25;
const LARGEST_HEAD_ROOM_FRACTION = 0.6;
/** Uses at the full rate that may be known late. */
const LATE_SECONDS = 1;
/** Uses beyond the capacity are made up for, at most as many as come in this time. */
const DEBT_SECONDS = 1;
const MINIMUM_DEBT = 20;
/** Time for which uses are drained that were reported before the quota was known here. */
const UNKNOWN_DRAIN_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;

export default class QuotaMeter {
  private quota: RequestQuota | undefined;

  private level = 0;

  private drainedAt: number;

  private readonly peers = new Map<string, UseSeries>();

  private readonly regionParts: RegionParts;

  /** Monotonic time of the last use. */
  public usedAt: number;

  constructor(
    private readonly view: QuotaView,
    now: number,
  ) {
    this.drainedAt = now;
    this.usedAt = now;
    this.regionParts = new RegionParts(view.regions);
  }

  /** Whether one more request is within the quota, or the milliseconds until it is. */
  public check(quota: RequestQuota, now: number): 'free' | number {
    this.applyQuota(quota, now);
    this.drain(now);
    const excess = this.level + 1 - this.capacity(quota, now);
    if (excess <= 0) return 'free';
    return (excess * MILLISECONDS_PER_SECOND) / this.rateAt(quota, now);
  }

  /** Counts requests of the own region that are sent on to targets. */
  public add(requests: number, now: number): void {
    this.usedAt = now;
    this.drain(now);
    this.level = Math.min(this.level + requests, this.highestLevel(now));
    this.regionParts.recordOwn(requests, now, this.view.lentParts());
  }

  /** Counts what a peer reports; returns the number of requests that are news. */
  public addPeerUse(reporter: UseReporter, use: WorkspaceUse, now: number): number {
    const series = this.peers.get(reporter.name) ?? new UseSeries();
    this.peers.set(reporter.name, series);
    const news = series.apply(reporter, use, now);
    if (news > 0) this.add(news, now);
    return news;
  }

  /** Notes what another region reports. */
  public addRegionUse(region: string, reporter: UseReporter, use: WorkspaceUse, now: number): void {
    this.usedAt = now;
    this.drain(now);
    this.regionParts.recordOther(region, reporter, use, now);
  }

  /** Whether forgetting a meter that was not used for long loses nothing. */
  public isEmpty(now: number): boolean {
    if (this.quota === undefined) return true;
    this.drain(now);
    return this.level <= 0;
  }

  /** Requests counted that have not drained yet. */
  public get used(): number {
    return Math.max(0, this.level);
  }

  /** Part of the rate that this region may use now, in requests a second. */
  public rateAt(quota: RequestQuota, now: number): number {
    const lent = this.view.lentParts();
    const rate = this.regionParts.rateAt(quota.requestsPerSecond, lent, now);
    return Math.max(Number.MIN_VALUE, rate * this.view.daemonPart());
  }

  /** Requests that may come at once; at least one. */
  public capacity(quota: RequestQuota, now: number): number {
    const burst = quota.burst * this.regionParts.burstPart(quota, now);
    return Math.max(1, (burst + this.headRoom(quota)) * this.view.daemonPart());
  }

  private headRoom(quota: RequestQuota): number {
    const { bounds, regions } = this.view;
    const excess = toleratedExcess(bounds, quota);
    const late = quota.requestsPerSecond * LATE_SECONDS;
    const most = LARGEST_HEAD_ROOM_FRACTION * excess - late;
    return Math.max(HEAD_ROOM_FRACTION * excess, most) / regions;
  }

  private applyQuota(quota: RequestQuota, now: number): void {
    const before = this.quota;
    if (before === undefined) {
      this.drainedAt = Math.max(this.drainedAt, now - UNKNOWN_DRAIN_MILLISECONDS);
      this.level += this.initialLevel(quota, now);
    }
    const isSame =
      before?.requestsPerSecond === quota.requestsPerSecond && before.burst === quota.burst;
    if (isSame) return;
    this.drain(now);
    this.quota = quota;
    this.level = Math.min(this.level, this.capacity(quota, now));
  }

  /** A process that has just started has the head room only: its predecessor may have used the rest. */
  private initialLevel(quota: RequestQuota, now: number): number {
    const burst = quota.burst * this.regionParts.burstPart(quota, now) * this.view.daemonPart();
    const gained =
      ((this.drainedAt - this.view.startedAt) * this.rateAt(quota, now)) / MILLISECONDS_PER_SECOND;
    return Math.max(0, burst - gained);
  }

  private highestLevel(now: number): number {
    if (this.quota === undefined) return Number.POSITIVE_INFINITY;
    const debt = Math.max(MINIMUM_DEBT, this.quota.requestsPerSecond * DEBT_SECONDS);
    return this.capacity(this.quota, now) + debt;
  }

  private drain(now: number): void {
    if (this.quota === undefined) return;
    const from = this.drainedAt;
    const { requestsPerSecond } = this.quota;
    const lent = this.view.lentParts();
    const headRoom = this.headRoom(this.quota);
    const drained = this.regionParts.take(requestsPerSecond, lent, [from, now], headRoom);
    this.level = Math.max(0, this.level - drained * this.view.daemonPart());
    this.drainedAt = now;
  }
}
