/**
 * Detects unhealthy targets of one shard from the results of their requests. Each request adds
 * evidence to a cumulative sum (CUSUM). A target is compared by how far its sum exceeds the median
 * of its peers, so that a slow link, an overload or a deployment of all targets marks no target
 * unhealthy.
 */
import type {
  Clock,
  Counters,
  EjectionCaution,
  Logger,
  Observation,
  TargetHealth,
  TargetState,
} from '@cactusrun/core';
import type { CautionLevel } from './CautionLevels.js';
import { CAUTION_LEVELS } from './CautionLevels.js';
import medianOf from './medianOf.js';
import PeerBaseline from './PeerBaseline.js';
import RequestEvidence, {
  COLD_START_MILLISECONDS,
  INITIAL_PEER_MILLISECONDS,
} from './RequestEvidence.js';
import TargetRecord from './TargetRecord.js';

/** Scores are capped at this multiple of the ejection threshold, so that a target can recover. */
const SCORE_CAP_FACTOR = 1.2;
/** A deprioritized target is restored when its score falls to this fraction of the threshold. */
const RECOVERY_SCORE_RATIO = 0.3;
const FIRST_TRIAL_DELAY_MILLISECONDS = 500;
const MAXIMUM_TRIAL_DELAY_MILLISECONDS = 30_000;
/** A target that becomes unhealthy again within this time after it was restored flaps. */
const FLAP_WINDOW_MILLISECONDS = 60_000;
/** Callers of a zone count as served if they got an answer within this time. */
const RECENT_ANSWER_MILLISECONDS = 10_000;
const HEDGE_DELAY_FACTOR = 1.5;
const MINIMUM_HEDGE_DELAY_MILLISECONDS = 10;
export interface ShardHealthOptions {
  readonly service: string;
  readonly targets: readonly string[];
  readonly caution: EjectionCaution;
  /** Overrides the thresholds of the caution, for experiments. */
  readonly level?: CautionLevel;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Whether the daemon holds the ejection lease of the target now. */
  readonly isEjected: (target: string) => boolean;
  /** Called when a target was restored. */
  readonly onRecovery?: () => void;
}

/** The state of a target and its reason, for operators. */
export interface TargetExplanation {
  readonly target: string;
  readonly state: TargetState;
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
  /** Zones for whose callers the target is deprioritized. */
  readonly callerZones: readonly string[];
}

export default class ShardHealth implements TargetHealth {
  private readonly records = new Map<string, TargetRecord>();

  private readonly baseline = new PeerBaseline(INITIAL_PEER_MILLISECONDS);

  private readonly evidence: RequestEvidence;

  constructor(private readonly options: ShardHealthOptions) {
    const { clock, counters } = options;
    const { baseline } = this;
    const onChange = (record: TargetRecord) => this.review(record);
    this.evidence = new RequestEvidence({ baseline, clock, counters, onChange });
    this.setTargets(options.targets);
  }

  /** Replaces the set of targets; keeps the records of those that remain. */
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
        const cap = this.level.ejectScore * SCORE_CAP_FACTOR;
        this.records.set(name, new TargetRecord(name, cap, clock.now() + COLD_START_MILLISECONDS));
      });
  }

  public stateOf(target: string, callerZone: string): TargetState {
    const record = this.records.get(target);
    if (record === undefined) return 'preferred';
    if (this.options.isEjected(target)) return 'ejected';
    const now = this.options.clock.now();
    if (now < record.reconnectAt || now < record.shedUntil) return 'suspect';
    const isSuspect = record.isDeprioritized || this.isDeprioritizedFor(record, callerZone);
    return isSuspect ? 'suspect' : 'preferred';
  }

  public isTrialDue(target: string): boolean {
    const record = this.records.get(target);
    const now = this.options.clock.now();
    if (record === undefined || now < record.reconnectAt || now < record.shedUntil) return false;
    const wait = Math.min(
      MAXIMUM_TRIAL_DELAY_MILLISECONDS,
      FIRST_TRIAL_DELAY_MILLISECONDS * 2 ** record.flaps,
    );
    if (now - record.lastTrialAt < wait) return false;
    record.lastTrialAt = now;
    return true;
  }

  public hedgeDelayMilliseconds(): number {
    return Math.max(
      MINIMUM_HEDGE_DELAY_MILLISECONDS,
      this.evidence.longMilliseconds * HEDGE_DELAY_FACTOR,
    );
  }

  public get isDoubtful(): boolean {
    return this.records.size > 1 && this.baseline.isMajorityFailing;
  }

  public observeAttempt(target: string, callerZone: string): Observation {
    const record = this.records.get(target);
    if (record === undefined) return { sentOn: () => {}, finish: () => {} };
    return this.evidence.observe(record, callerZone);
  }

  /** Targets whose score justifies an ejection. */
  public ejectionCandidates(): readonly string[] {
    if (this.isDoubtful) return [];
    return [...this.records.values()]
      .filter(
        (record) => record.isDeprioritized && this.relativeScore(record) >= this.level.ejectScore,
      )
      .filter((record) => this.baseline.isWorseThanPeers(record.name))
      .map((record) => record.name);
  }

  /** How often the target became unhealthy again soon after it was restored. */
  public flapCount(target: string): number {
    return this.records.get(target)?.flaps ?? 0;
  }

  /** Discards the evidence against a target that was crashed by a poison request. */
  public clearEvidence(target: string): void {
    const record = this.records.get(target);
    if (record === undefined) return;
    record.clearEvidence();
    this.review(record);
  }

  public explain(target: string): TargetExplanation | undefined {
    const record = this.records.get(target);
    if (record === undefined) return undefined;
    const state = this.stateOf(target, '');
    const zones = [...record.zones.keys()].filter((zone) => this.isDeprioritizedFor(record, zone));
    return {
      target,
      state: zones.length > 0 && state === 'preferred' ? 'suspect' : state,
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
    if (now < record.reconnectAt) return 'no-connection';
    if (record.isDeprioritized) return 'evidence';
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

  /** Deprioritizes a target that does worse than its peers; restores it when it has recovered. */
  private review(record: TargetRecord): void {
    const score = this.relativeScore(record);
    const isUnhealthy =
      score >= this.level.steerScore && this.baseline.isWorseThanPeers(record.name);
    if (!record.isDeprioritized && isUnhealthy && !this.servesOnlySomeZones(record)) {
      this.deprioritize(record);
    } else if (record.isDeprioritized && score <= this.level.steerScore * RECOVERY_SCORE_RATIO) {
      this.restore(record);
    }
  }

  private deprioritize(record: TargetRecord): void {
    const { clock, counters, logger, service } = this.options;
    record.deprioritize(clock.now(), FLAP_WINDOW_MILLISECONDS);
    counters.add('steering', 'evidence');
    logger.info('steered-around', { service, target: record.name, score: record.cusum.score });
  }

  private restore(record: TargetRecord): void {
    const { clock, counters, logger, service } = this.options;
    record.restore(clock.now());
    counters.add('steering', 'returned');
    logger.info('returned', { service, target: record.name });
    this.options.onRecovery?.();
  }

  /** Whether the target serves the callers of some zones and fails those of others. */
  private servesOnlySomeZones(record: TargetRecord): boolean {
    const zones = [...record.zones.values()];
    const now = this.options.clock.now();
    const hasFailingZone = zones.some((zone) => zone.cusum.score >= this.level.steerScore);
    const hasServedZone = zones.some(
      (zone) =>
        zone.cusum.score < this.level.steerScore * RECOVERY_SCORE_RATIO &&
        now - zone.lastAnswerAt < RECENT_ANSWER_MILLISECONDS,
    );
    return hasFailingZone && hasServedZone;
  }

  private isDeprioritizedFor(record: TargetRecord, callerZone: string): boolean {
    const zone = record.zones.get(callerZone);
    if (zone === undefined || zone.cusum.score < this.level.steerScore) return false;
    const peers = this.peersOf(record).map((peer) => peer.zones.get(callerZone)?.cusum.score ?? 0);
    return zone.cusum.score - medianOf(peers) >= this.level.steerScore;
  }
}
