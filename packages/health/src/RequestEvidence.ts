/**
 * Gathers evidence about the targets of one shard from their requests: how long they take, compared
 * with those of the peers, and how they end.
 */
import type { Clock, Counters, Observation, ObservedResult } from '@cactusrun/core';
import DecayingQuantile from './DecayingQuantile.js';
import {
  durationLogRatio,
  failureLogRatio,
  OVERDUE_FACTOR,
  survivalLogRatio,
  TIMEOUT_LOG_RATIO,
} from './evidence.js';
import type PeerBaseline from './PeerBaseline.js';
import type TargetRecord from './TargetRecord.js';

/** Time in which a target that is new, or reached again, gathers no evidence against it. */
export const COLD_START_MILLISECONDS = 5_000;
const SHED_BACKOFF_MILLISECONDS = 100;
/** Duration of a request that is expected before any has been observed. */
export const INITIAL_PEER_MILLISECONDS = 50;
const HEDGE_QUANTILE = 0.95;
/** Weight of a missing answer on a reused connection, which may itself be broken. */
const REUSED_CONNECTION_WEIGHT = 0.6;

export interface RequestEvidenceParts {
  readonly baseline: PeerBaseline;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Called when the evidence about a target has changed. */
  readonly onChange: (record: TargetRecord) => void;
}

interface RunningRequest {
  readonly record: TargetRecord;
  readonly zone: string;
  readonly startedAt: number;
  /** Evidence that was already added for this request. */
  addedLogRatio: number;
  isOnReusedConnection: boolean;
  cancelOverdueCheck: () => void;
}

type ResultHandler = (request: RunningRequest, elapsed: number) => void;

export default class RequestEvidence {
  private readonly durationQuantile = new DecayingQuantile(
    HEDGE_QUANTILE,
    2 * INITIAL_PEER_MILLISECONDS,
    0.05,
  );

  private readonly resultHandlers: Readonly<Record<ObservedResult, ResultHandler>> = {
    answered: (request, elapsed) => this.recordAnswer(request, elapsed),
    'error-status': (request) => this.recordFailure(request),
    broken: (request) => this.recordFailure(request),
    timeout: (request) => this.recordTimeout(request),
    'connect-failed': (request) => this.recordConnectFailure(request),
    shed: (request) => this.recordShed(request),
    cancelled: () => {},
  };

  constructor(private readonly parts: RequestEvidenceParts) {}

  /** The duration that few requests exceed, in milliseconds. */
  public get longMilliseconds(): number {
    return this.durationQuantile.value;
  }

  /** Observes one request at a target. */
  public observe(record: TargetRecord, callerZone: string): Observation {
    const { clock } = this.parts;
    const request: RunningRequest = {
      record,
      zone: callerZone,
      startedAt: clock.now(),
      addedLogRatio: 0,
      isOnReusedConnection: false,
      cancelOverdueCheck: () => {},
    };
    this.scheduleOverdueCheck(request, OVERDUE_FACTOR);
    let isRunning = true;
    return {
      sentOn: (connection) => {
        request.isOnReusedConnection = connection === 'reused';
      },
      finish: (result) => {
        if (!isRunning) return;
        isRunning = false;
        request.cancelOverdueCheck();
        this.resultHandlers[result](request, clock.now() - request.startedAt);
        this.parts.onChange(record);
      },
    };
  }

  /** Adds evidence for a running request at each multiple of the expected duration. */
  private scheduleOverdueCheck(request: RunningRequest, factor: number): void {
    const { clock } = this.parts;
    const { name } = request.record;
    const due = request.startedAt + factor * this.parts.baseline.peerMilliseconds(name);
    request.cancelOverdueCheck = clock.after(Math.max(1, due - clock.now()), () => {
      const elapsed = clock.now() - request.startedAt;
      const logRatio = survivalLogRatio(elapsed, this.parts.baseline.peerMilliseconds(name));
      this.addEvidence(request, weighByConnection(request, logRatio));
      this.parts.baseline.recordOverdue(name, elapsed);
      this.parts.onChange(request.record);
      if (request.addedLogRatio < TIMEOUT_LOG_RATIO) this.scheduleOverdueCheck(request, factor + 1);
    });
  }

  /** Sets the total evidence of the request; none against the target during a cold start. */
  private addEvidence(request: RunningRequest, logRatio: number): void {
    const isCold = this.parts.clock.now() < request.record.coldStartUntil;
    const newLogRatio = isCold ? Math.min(0, logRatio) : logRatio;
    const change = newLogRatio - request.addedLogRatio;
    request.addedLogRatio = newLogRatio;
    request.record.cusum.add(change);
    request.record.zoneEvidence(request.zone).cusum.add(change);
  }

  private recordAnswer(request: RunningRequest, elapsed: number): void {
    const { record } = request;
    const now = this.parts.clock.now();
    record.endConnectFailures(now + COLD_START_MILLISECONDS);
    const peer = this.parts.baseline.peerMilliseconds(record.name);
    this.addEvidence(request, durationLogRatio(elapsed, peer));
    record.zoneEvidence(request.zone).lastAnswerAt = now;
    this.parts.baseline.recordOutcome(record.name, false);
    if (now < record.coldStartUntil && this.parts.baseline.samples(record.name) > 1) return;
    this.parts.baseline.recordDuration(record.name, elapsed);
    this.durationQuantile.add(elapsed);
  }

  private recordFailure(request: RunningRequest): void {
    const { name } = request.record;
    const rate = this.parts.baseline.peerFailureRate(name);
    this.parts.baseline.recordOutcome(name, true);
    this.addEvidence(request, Math.max(request.addedLogRatio, failureLogRatio(rate)));
  }

  private recordTimeout(request: RunningRequest): void {
    const { name } = request.record;
    const rate = this.parts.baseline.peerFailureRate(name);
    this.parts.baseline.recordOutcome(name, true);
    const logRatio = weighByConnection(request, Math.min(TIMEOUT_LOG_RATIO, failureLogRatio(rate)));
    this.addEvidence(request, Math.max(request.addedLogRatio, logRatio));
  }

  private recordConnectFailure(request: RunningRequest): void {
    request.record.recordConnectFailure(this.parts.clock.now());
    this.parts.counters.add('steering', 'no-connection');
  }

  private recordShed(request: RunningRequest): void {
    request.record.shedUntil = this.parts.clock.now() + SHED_BACKOFF_MILLISECONDS;
    this.parts.counters.add('steering', 'shed');
  }
}

/** Reduces evidence against the target if no answer came on a reused connection. */
function weighByConnection(request: RunningRequest, logRatio: number): number {
  return logRatio > 0 && request.isOnReusedConnection
    ? logRatio * REUSED_CONNECTION_WEIGHT
    : logRatio;
}
