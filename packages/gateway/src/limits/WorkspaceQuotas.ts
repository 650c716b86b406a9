/**
 * The quotas of workspaces: how many requests of each may be sent on to targets by all daemons
 * together. Daemons of a region report every request that they count to each other; regions report
 * theirs to each other every half second, and earlier where they change much.
 */
import type { Clock } from '@cactusrun/core';
import type { UseReport, UseReporter, WorkspaceUse } from '../fleet/PeerMessage.js';
import type { Workspace } from '../workspaces/Workspace.js';
import type { QuotaBounds } from './QuotaBounds.js';
import type { QuotaView } from './QuotaMeter.js';
import QuotaMeter from './QuotaMeter.js';
import type QuotaRefusals from './QuotaRefusals.js';
import PeerUseReports from './PeerUseReports.js';
import type RateLimitShare from './RateLimitShare.js';
import RegionUseReports from './RegionUseReports.js';
import Sweep from './Sweep.js';

/** Another region without a message for this long is left its equal part of every quota. */
const REGION_TIMEOUT_MILLISECONDS = 400;
/** The same for a peer to which callers are directed, whose heartbeats come more often than this. */
const ENTRY_TIMEOUT_MILLISECONDS = 700;
/** Age at which the part of this daemon is recomputed. */
const PART_MILLISECONDS = 20;
/** An empty meter that was not used for this long is forgotten. */
const RETENTION_MILLISECONDS = 60_000;
/** Meters that are looked at for that in one go. */
const SWEEP_SIZE = 500;

export interface WorkspaceQuotasParts {
  readonly bounds: QuotaBounds;
  /** Number of regions of the fleet. */
  readonly regions: number;
  readonly share: Pick<RateLimitShare, 'ofRegion'>;
  /** Names of the peers of the region to which callers are directed. */
  readonly entryNames: () => readonly string[];
  /** Distinguishes the process from earlier ones of the same daemon. */
  readonly incarnation: number;
  readonly refusals: QuotaRefusals;
  readonly clock: Clock;
}

/** What another region reports. */
export interface RegionReport {
  readonly region: string;
  readonly reporter: UseReporter;
  /** Part of the region's daemons, from 0 to 1, for which the reporter speaks. */
  readonly part: number;
  readonly uses: readonly WorkspaceUse[];
}

interface RegionHeard {
  /** Monotonic time. */
  readonly at: number;
  readonly part: number;
}

/** Whether a request is within the quota of its workspace. */
export type QuotaVerdict =
  { readonly kind: 'free' } | { readonly kind: 'over-quota'; readonly freeInMilliseconds: number };

const FREE: QuotaVerdict = { kind: 'free' };

export default class WorkspaceQuotas {
  /** By name of the workspace. */
  private readonly meters = new Map<string, QuotaMeter>();

  /** Monotonic time of the last message of each member. */
  private readonly peersHeardAt = new Map<string, number>();

  /** The last message of each other region. */
  private readonly regionsHeard = new Map<string, RegionHeard>();

  private readonly view: QuotaView;

  private part = { value: 0, at: Number.NEGATIVE_INFINITY };

  private readonly ownUse: PeerUseReports;

  private readonly regionUse: RegionUseReports;

  private readonly meterSweep = new Sweep(this.meters, (meter) => this.isNeeded(meter));

  constructor(private readonly parts: WorkspaceQuotasParts) {
    const { bounds, regions, clock, incarnation } = parts;
    this.ownUse = new PeerUseReports(incarnation);
    this.regionUse = new RegionUseReports(incarnation);
    this.view = {
      bounds,
      regions,
      startedAt: clock.now(),
      daemonPart: () => this.daemonPart(),
      lentParts: () => this.lentParts(),
    };
  }

  /** Whether any workspace with a quota was seen lately. */
  public get isInUse(): boolean {
    return this.meters.size > 0;
  }

  /** Number of workspaces that are kept in memory. */
  public get size(): number {
    return this.meters.size;
  }

  /** Whether a request of the workspace may be sent on now; `record` counts it. */
  public check({ name, quota }: Workspace): QuotaVerdict {
    if (quota === undefined) return FREE;
    const now = this.parts.clock.now();
    const meter = this.meterOf(name, now);
    const result = meter.check(quota, now);
    if (result === 'free') return FREE;
    const freeInMilliseconds = Math.max(1, Math.ceil(result));
    this.parts.refusals.record({
      workspace: name,
      requestsPerSecond: quota.requestsPerSecond,
      burst: quota.burst,
      rateHere: meter.rateAt(quota, now),
      capacityHere: meter.capacity(quota, now),
      usedHere: meter.used,
      viewAgeMilliseconds: this.viewAge(now),
      freeInMilliseconds,
    });
    return { kind: 'over-quota', freeInMilliseconds };
  }

  /** Counts a request that this daemon sends on to a target or a peer; once a request. */
  public record({ name, quota }: Workspace): void {
    if (quota === undefined) return;
    const now = this.parts.clock.now();
    this.meterOf(name, now).add(1, now);
    this.ownUse.add(name, now);
    this.regionUse.add(name, 1, now);
  }

  /** Part of the daemons of the region for which this one speaks, from 0 to 1. */
  public get regionPart(): number {
    return this.daemonPart();
  }

  /** Whether there is something to report to the peers of the region. */
  public hasReport(): boolean {
    return this.ownUse.isDue(this.parts.clock.now());
  }

  /** What this daemon counted since its last report to peers; undefined if nothing. */
  public takeReport(): UseReport | undefined {
    return this.ownUse.take(this.parts.clock.now());
  }

  /**
   * What all daemons of the region counted, for the other regions.
   *
   * @param kind - everything that changed lately, or only what the others cannot expect
   */
  public takeRegionUses(kind: 'round' | 'urgent'): readonly WorkspaceUse[] {
    const now = this.parts.clock.now();
    return kind === 'round' ? this.regionUse.takeRound(now) : this.regionUse.takeUrgent(now);
  }

  /** Records that a message of a member of the region arrived. */
  public recordHeard(peer: string): void {
    this.peersHeardAt.set(peer, this.parts.clock.now());
  }

  /** Forgets a member that is gone: from then on, its share is left to it. */
  public forgetPeer(peer: string): void {
    this.peersHeardAt.delete(peer);
  }

  /** Counts what a peer of the region reports. */
  public applyReport(peer: string, { incarnation, uses }: UseReport): void {
    const now = this.parts.clock.now();
    const reporter = { name: peer, incarnation };
    uses.forEach((use) => {
      const news = this.meterOf(use.workspace, now).addPeerUse(reporter, use, now);
      if (news > 0) this.regionUse.add(use.workspace, news, now);
    });
  }

  /** Notes what another region reports. */
  public applyRegionReport({ region, reporter, part, uses }: RegionReport): void {
    const now = this.parts.clock.now();
    this.regionsHeard.set(region, { at: now, part });
    uses.forEach((use) =>
      this.meterOf(use.workspace, now).addRegionUse(region, reporter, use, now),
    );
  }

  /** Forgets some workspaces that have not been used for long. */
  public sweep(): void {
    const now = this.parts.clock.now();
    this.meterSweep.step(SWEEP_SIZE);
    this.ownUse.forgetOld(now);
    this.regionUse.forgetOld(now);
  }

  private isNeeded(meter: QuotaMeter): boolean {
    const now = this.parts.clock.now();
    return now - meter.usedAt < RETENTION_MILLISECONDS || !meter.isEmpty(now);
  }

  private meterOf(name: string, now: number): QuotaMeter {
    const known = this.meters.get(name);
    if (known !== undefined) return known;
    const meter = new QuotaMeter(this.view, now);
    this.meters.set(name, meter);
    return meter;
  }

  /**
   * The part of its region's limit that this daemon may use: the members that it has lost keep
   * theirs, and so do peers that serve callers as soon as a heartbeat is overdue.
   */
  private daemonPart(): number {
    const now = this.parts.clock.now();
    if (now - this.part.at < PART_MILLISECONDS) return this.part.value;
    const entries = this.parts.entryNames();
    const isHeard = (name: string) =>
      now - (this.peersHeardAt.get(name) ?? this.view.startedAt) <= ENTRY_TIMEOUT_MILLISECONDS;
    const heard = entries.filter(isHeard).length;
    const value = Math.min(this.parts.share.ofRegion(), (heard + 1) / (entries.length + 1));
    this.part = { value, at: now };
    return value;
  }

  /** Equal parts of the other regions that this one may use as far as they leave them. */
  private lentParts(): number {
    const oldest = this.parts.clock.now() - REGION_TIMEOUT_MILLISECONDS;
    return [...this.regionsHeard.values()]
      .filter(({ at }) => at >= oldest)
      .reduce((sum, { part }) => sum + part, 0);
  }

  /** Milliseconds since the other region was heard that was heard longest ago; 0 with one region. */
  private viewAge(now: number): number {
    if (this.parts.regions <= 1) return 0;
    const times = [...this.regionsHeard.values()].map(({ at }) => at);
    return Math.round(now - Math.min(...times, times.length === 0 ? this.view.startedAt : now));
  }
}
