/**
 * Judges the targets of one shard by the work they do. Each request adds evidence to a cumulative
 * sum; what counts is how far a target's sum lies above the middle of its peers', so that a slow
 * link, an overload or a deploy of all targets accuses nobody.
 */
import type {
  Clock,
  Counters,
  EjectionCaution,
  Logger,
  Observation,
  ObservedResult,
  Standing,
  TargetHealth,
} from '@cactusrun/core';
import type { CautionLevel } from './CautionLevels.js';
import { CAUTION_LEVELS } from './CautionLevels.js';
import {
  durationRatio,
  failureRatio,
  OVERDUE_FACTOR,
  survivalRatio,
  TIMEOUT_RATIO,
} from './evidence.js';
import FadingQuantile from './FadingQuantile.js';
import medianOf from './medianOf.js';
import PeerBaseline from './PeerBaseline.js';
import TargetRecord from './TargetRecord.js';

/** Sums are capped at this multiple of the threshold, so that a target can return. */
const CAP_FACTOR = 1.2;
/** A steered target returns when its score has fallen to this share of the threshold. */
const RETURN_SHARE = 0.3;
const TRIAL_MILLISECONDS = 500;
const LONGEST_TRIAL_MILLISECONDS = 30_000;
/** A target that turns sick again within this time after its return flaps. */
const FLAP_MILLISECONDS = 60_000;
/** An answer this recent shows that a zone's callers are served. */
const RECENT_MILLISECONDS = 10_000;
const COLD_MILLISECONDS = 5_000;
const SHED_MILLISECONDS = 100;
const FIRST_PEER_MILLISECONDS = 50;
const LATE_QUANTILE = 0.95;
const LATE_FACTOR = 1.5;
const SHORTEST_LATE_MILLISECONDS = 10;
/** Share of the blame for silence on a reused connection that falls on the target. */
const REUSED_CONNECTION_WEIGHT = 0.6;

export interface ShardHealthOptions {
  readonly service: string;
  readonly targets: readonly string[];
  readonly caution: EjectionCaution;
  /** Thresholds in place of those of the caution; for experiments. */
  readonly level?: CautionLevel;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Whether the daemon holds the target's share of the ejection budget now. */
  readonly isEjected: (target: string) => boolean;
  /** Called when a standing may have changed for the better. */
  readonly onReturn?: () => void;
}

/** Why a target stands as it does, for operators. */
export interface TargetExplanation {
  readonly target: string;
  readonly standing: Standing;
  readonly reason:
    'healthy' | 'evidence' | 'some-callers' | 'no-connection' | 'shedding' | 'ejected';
  readonly score: number;
  readonly peerScore: number;
  readonly steerScore: number;
  readonly ejectScore: number;
  readonly meanMilliseconds: number;
  readonly peerMilliseconds: number;
  readonly failureRate: number;
  readonly samples: number;
  readonly flaps: number;
  /** Zones whose callers are steered around the target. */
  readonly callerZones: readonly string[];
}

interface RunningRequest {
  readonly record: TargetRecord;
  readonly zone: string;
  readonly startedAt: number;
  /** Evidence that was already added while the request ran. */
  counted: number;
  /** The connection worked before: that it fell silent may be its own fault. */
  isOnReused: boolean;
  cancelWatch: () => void;
}

type FinishHandler = (request: RunningRequest, elapsed: number) => void;

export default class ShardHealth implements TargetHealth {
  private readonly records = new Map<string, TargetRecord>();

  private readonly baseline = new PeerBaseline(FIRST_PEER_MILLISECONDS);

  private readonly lateness = new FadingQuantile(LATE_QUANTILE, 2 * FIRST_PEER_MILLISECONDS, 0.05);

  private readonly handlers: Readonly<Record<ObservedResult, FinishHandler>> = {
    answered: (request, elapsed) => this.noteAnswer(request, elapsed),
    'error-status': (request) => this.noteFailure(request),
    broken: (request) => this.noteFailure(request),
    timeout: (request) => this.noteTimeout(request),
    'connect-failed': (request) => this.noteDown(request),
    shed: (request) => this.noteShed(request),
    cancelled: () => {},
  };

  constructor(private readonly options: ShardHealthOptions) {
    this.setTargets(options.targets);
  }

  /** Puts another set of targets in force; what is known of the rest is kept. */
  public setTargets(targets: readonly string[]): void {
    const { clock } = this.options;
    const wanted = new Set(targets);
    this.records.forEach((_, name) => {
      if (wanted.has(name)) return;
      this.records.delete(name);
      this.baseline.remove(name);
    });
    targets
      .filter((name) => !this.records.has(name))
      .forEach((name) => {
        this.baseline.add(name);
        const cap = this.level.ejectScore * CAP_FACTOR;
        this.records.set(name, new TargetRecord(name, cap, clock.now() + COLD_MILLISECONDS));
      });
  }

  public standing(target: string, callerZone: string): Standing {
    const record = this.records.get(target);
    if (record === undefined) return 'preferred';
    if (this.options.isEjected(target)) return 'ejected';
    const now = this.options.clock.now();
    if (now < record.downUntil || now < record.shedUntil) return 'suspect';
    const isSuspect = record.isSteered || this.isSteeredFor(record, callerZone);
    return isSuspect ? 'suspect' : 'preferred';
  }

  public isTrialDue(target: string): boolean {
    const record = this.records.get(target);
    const now = this.options.clock.now();
    if (record === undefined || now < record.downUntil || now < record.shedUntil) return false;
    const wait = Math.min(LONGEST_TRIAL_MILLISECONDS, TRIAL_MILLISECONDS * 2 ** record.flaps);
    if (now - record.lastTrialAt < wait) return false;
    record.lastTrialAt = now;
    return true;
  }

  public lateAfterMilliseconds(): number {
    return Math.max(SHORTEST_LATE_MILLISECONDS, this.lateness.value * LATE_FACTOR);
  }

  public get isDoubtful(): boolean {
    return this.records.size > 1 && this.baseline.isMostlyTrouble;
  }

  public started(target: string, callerZone: string): Observation {
    const record = this.records.get(target);
    if (record === undefined) return { sentOn: () => {}, finish: () => {} };
    const { clock } = this.options;
    const request: RunningRequest = {
      record,
      zone: callerZone,
      startedAt: clock.now(),
      counted: 0,
      isOnReused: false,
      cancelWatch: () => {},
    };
    this.watch(request, OVERDUE_FACTOR);
    let isOpen = true;
    return {
      sentOn: (connection) => {
        request.isOnReused = connection === 'reused';
      },
      finish: (result) => {
        if (!isOpen) return;
        isOpen = false;
        request.cancelWatch();
        this.handlers[result](request, clock.now() - request.startedAt);
        this.review(record);
      },
    };
  }

  /** Targets whose evidence is strong enough to ask for their ejection. */
  public ejectionCandidates(): readonly string[] {
    if (this.isDoubtful) return [];
    return [...this.records.values()]
      .filter((record) => record.isSteered && this.relativeScore(record) >= this.level.ejectScore)
      .filter((record) => this.baseline.isWorseThanPeers(record.name))
      .map((record) => record.name);
  }

  /** The time a target stays out, by how often it turned sick again. */
  public flapsOf(target: string): number {
    return this.records.get(target)?.flaps ?? 0;
  }

  /** The target broke under a request that breaks whatever runs it: it is not to blame. */
  public forgive(target: string): void {
    const record = this.records.get(target);
    if (record === undefined) return;
    record.forgive();
    this.review(record);
  }

  public explain(target: string): TargetExplanation | undefined {
    const record = this.records.get(target);
    if (record === undefined) return undefined;
    const standing = this.standing(target, '');
    const zones = [...record.zones.keys()].filter((zone) => this.isSteeredFor(record, zone));
    return {
      target,
      standing: zones.length > 0 && standing === 'preferred' ? 'suspect' : standing,
      reason: this.reasonFor(record, zones),
      score: record.cusum.score,
      peerScore: this.peerScore(record),
      ...this.level,
      meanMilliseconds: this.baseline.meanMilliseconds(target),
      peerMilliseconds: this.baseline.peerMilliseconds(target),
      failureRate: this.baseline.failureRate(target),
      samples: this.baseline.samples(target),
      flaps: record.flaps,
      callerZones: zones,
    };
  }

  private get level(): CautionLevel {
    return this.options.level ?? CAUTION_LEVELS[this.options.caution];
  }

  private reasonFor(record: TargetRecord, zones: readonly string[]): TargetExplanation['reason'] {
    const now = this.options.clock.now();
    if (this.options.isEjected(record.name)) return 'ejected';
    if (now < record.downUntil) return 'no-connection';
    if (record.isSteered) return 'evidence';
    if (now < record.shedUntil) return 'shedding';
    return zones.length > 0 ? 'some-callers' : 'healthy';
  }

  private peersOf(record: TargetRecord): readonly TargetRecord[] {
    return [...this.records.values()].filter((peer) => peer !== record);
  }

  private peerScore(record: TargetRecord): number {
    return medianOf(this.peersOf(record).map((peer) => peer.cusum.score));
  }

  private relativeScore(record: TargetRecord): number {
    return record.cusum.score - this.peerScore(record);
  }

  /** Looks at a running request again and again as it grows older. */
  private watch(request: RunningRequest, factor: number): void {
    const { clock } = this.options;
    const { name } = request.record;
    const due = request.startedAt + factor * this.baseline.peerMilliseconds(name);
    request.cancelWatch = clock.after(Math.max(1, due - clock.now()), () => {
      const elapsed = clock.now() - request.startedAt;
      const ratio = survivalRatio(elapsed, this.baseline.peerMilliseconds(name));
      this.addEvidence(request, weighSilence(request, ratio));
      this.baseline.noteOverdue(name, elapsed);
      this.review(request.record);
      if (request.counted < TIMEOUT_RATIO) this.watch(request, factor + 1);
    });
  }

  /** Brings what the request has counted for to the ratio given. */
  private addEvidence(request: RunningRequest, ratio: number): void {
    const isCold = this.options.clock.now() < request.record.coldUntil;
    const weighed = isCold ? Math.min(0, ratio) : ratio;
    const change = weighed - request.counted;
    request.counted = weighed;
    request.record.cusum.add(change);
    request.record.zone(request.zone).cusum.add(change);
  }

  private noteAnswer(request: RunningRequest, elapsed: number): void {
    const { record } = request;
    const now = this.options.clock.now();
    record.noteUp(now + COLD_MILLISECONDS);
    const peer = this.baseline.peerMilliseconds(record.name);
    this.addEvidence(request, durationRatio(elapsed, peer));
    record.zone(request.zone).lastGoodAt = now;
    this.baseline.noteOutcome(record.name, false);
    if (now < record.coldUntil && this.baseline.samples(record.name) > 1) return;
    this.baseline.noteDuration(record.name, elapsed);
    this.lateness.add(elapsed);
  }

  private noteFailure(request: RunningRequest): void {
    const { name } = request.record;
    const rate = this.baseline.peerFailureRate(name);
    this.baseline.noteOutcome(name, true);
    this.addEvidence(request, Math.max(request.counted, failureRatio(rate)));
  }

  private noteTimeout(request: RunningRequest): void {
    const { name } = request.record;
    const rate = this.baseline.peerFailureRate(name);
    this.baseline.noteOutcome(name, true);
    const ratio = weighSilence(request, Math.min(TIMEOUT_RATIO, failureRatio(rate)));
    this.addEvidence(request, Math.max(request.counted, ratio));
  }

  private noteDown(request: RunningRequest): void {
    request.record.noteDown(this.options.clock.now());
    this.options.counters.add('steering', 'no-connection');
  }

  private noteShed(request: RunningRequest): void {
    request.record.shedUntil = this.options.clock.now() + SHED_MILLISECONDS;
    this.options.counters.add('steering', 'shed');
  }

  /** Steers around a target for good reasons against it alone; lets it return when they are gone. */
  private review(record: TargetRecord): void {
    const score = this.relativeScore(record);
    const isSick = score >= this.level.steerScore && this.baseline.isWorseThanPeers(record.name);
    if (!record.isSteered && isSick && !this.servesSomeZone(record)) {
      this.steer(record);
    } else if (record.isSteered && score <= this.level.steerScore * RETURN_SHARE) {
      this.takeBack(record);
    }
  }

  private steer(record: TargetRecord): void {
    const { clock, counters, logger, service } = this.options;
    record.steer(clock.now(), FLAP_MILLISECONDS);
    counters.add('steering', 'evidence');
    logger.info('steered-around', { service, target: record.name, score: record.cusum.score });
  }

  private takeBack(record: TargetRecord): void {
    const { clock, counters, logger, service } = this.options;
    record.takeBack(clock.now());
    counters.add('steering', 'returned');
    logger.info('returned', { service, target: record.name });
    this.options.onReturn?.();
  }

  /** Whether callers of one zone are served well while those of another are not. */
  private servesSomeZone(record: TargetRecord): boolean {
    const zones = [...record.zones.values()];
    const now = this.options.clock.now();
    const hasBad = zones.some((zone) => zone.cusum.score >= this.level.steerScore);
    const hasGood = zones.some(
      (zone) =>
        zone.cusum.score < this.level.steerScore * RETURN_SHARE &&
        now - zone.lastGoodAt < RECENT_MILLISECONDS,
    );
    return hasBad && hasGood;
  }

  private isSteeredFor(record: TargetRecord, callerZone: string): boolean {
    const zone = record.zones.get(callerZone);
    if (zone === undefined || zone.cusum.score < this.level.steerScore) return false;
    const peers = this.peersOf(record).map((peer) => peer.zones.get(callerZone)?.cusum.score ?? 0);
    return zone.cusum.score - medianOf(peers) >= this.level.steerScore;
  }
}

/** Silence on a connection that worked before accuses the connection as well. */
function weighSilence(request: RunningRequest, ratio: number): number {
  return ratio > 0 && request.isOnReused ? ratio * REUSED_CONNECTION_WEIGHT : ratio;
}
