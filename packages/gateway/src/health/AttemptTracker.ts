/**
 * Tracks attempts at targets: records the outcomes of this daemon's attempts and of those that
 * peers report, and reports its own to peers within milliseconds.
 */
import type { Clock, Counters, Logger } from '@cactusrun/core';
import type EntryDirectory from '../fleet/EntryDirectory.js';
import type FailureRates from './FailureRates.js';
import type IdleReuse from '../connections/IdleReuse.js';
import type LeavingTargets from '../limits/LeavingTargets.js';
import type TargetBackoffs from '../limits/TargetBackoffs.js';
import type TargetRateLimits from '../limits/TargetRateLimits.js';
import type WorkspaceQuotas from '../limits/WorkspaceQuotas.js';
import type OutstandingRequests from '../placement/OutstandingRequests.js';
import type { PeerSender } from '../fleet/PeerLink.js';
import type LostTargets from '../reachability/LostTargets.js';
import type { AttemptOutcome, AttemptReport } from '../fleet/PeerMessage.js';
import type RetryBudgetShares from '../execution/RetryBudgetShares.js';
import type { TargetEntry } from '../state/TargetEntry.js';
import type { TargetStatement } from '../state/TargetStatement.js';
import type { Observation } from './TargetHealthEstimate.js';
import type TargetTable from '../state/TargetTable.js';
import type { KnownTarget } from '../state/TargetTable.js';
import type { Workspace } from '../workspaces/Workspace.js';

/**
 * Pending reports are sent together after the shortest of their delays. Daemons that choose targets
 * need failures at once, started attempts soon, and freed slots before they are needed. The latter
 * two wait longer the more daemons receive them, so that the messages of a daemon stay bounded.
 */
const FAILURE_REPORT_DELAY_MILLISECONDS = 1;
const START_REPORT_DELAY_MILLISECONDS = 4;
const END_REPORT_DELAY_MILLISECONDS = 12;
/** Receivers up to which started and ended attempts are reported after the delays above. */
const RECEIVERS_AT_SHORTEST_DELAY = 6;
/** This daemon stops connecting to a target for this long after it refused a connection. */
const CONNECT_REFUSED_BLOCK_MILLISECONDS = 1_000;
/** This daemon stops connecting to a target for this long after it failed to connect in time. */
const CONNECT_FAILURE_BLOCK_MILLISECONDS = 2_000;
/** Probability of being unhealthy at which a target is logged as suspected or cleared. */
const SUSPECT_PROBABILITY = 0.6;

/** What each outcome counts as in the target's health estimate. */
const OBSERVATIONS: Readonly<Record<Exclude<AttemptOutcome, 'refused'>, Observation>> = {
  good: 'good',
  failed: 'failed',
  stalled: 'stalled',
  unreachable: 'failed',
  dropped: 'dropped',
};

export interface AttemptTrackerParts {
  readonly selfName: string;
  readonly targets: TargetTable;
  readonly outstanding: OutstandingRequests;
  readonly failures: FailureRates;
  readonly idleReuse: IdleReuse;
  readonly retryBudgetShares: RetryBudgetShares;
  readonly rateLimits: TargetRateLimits;
  readonly quotas: Pick<WorkspaceQuotas, 'record' | 'takeReport'>;
  readonly leavingTargets: LeavingTargets;
  readonly backoffs: TargetBackoffs;
  readonly lostTargets: LostTargets;
  readonly directory: EntryDirectory;
  readonly link: PeerSender;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class AttemptTracker {
  private pendingReports: AttemptReport[] = [];

  /** Monotonic time at which the pending reports are sent. */
  private flushAt = Number.POSITIVE_INFINITY;

  private cancelFlush: (() => void) | undefined;

  constructor(private readonly parts: AttemptTrackerParts) {}

  /**
   * Counts a request of a workspace against its quota, and reports it to peers: once a request, when
   * it is sent on to a target or to a peer.
   */
  public recordRequest(workspace: Workspace): void {
    this.parts.quotas.record(workspace);
    if (workspace.quota !== undefined) this.reportUse();
  }

  /** Reports to peers what is counted against quotas. */
  public reportUse(): void {
    this.scheduleFlush(START_REPORT_DELAY_MILLISECONDS);
  }

  /**
   * Records that this daemon starts an attempt at the target.
   *
   * @param isRetry - whether an earlier attempt of the request was made
   */
  public begin(target: KnownTarget, isRetry: boolean): void {
    const { id } = target.entry;
    const outstanding = this.parts.outstanding.add(id, 1);
    this.parts.targets.get(id)!.usedAt = this.parts.clock.now();
    this.parts.rateLimits.recordAttempt(target.entry);
    this.queueReport({ target: id, outstanding, attemptKind: isRetry ? 'repeated' : 'fresh' });
  }

  /**
   * Records that an attempt of this daemon has ended.
   *
   * @param outcome - undefined when the result is no evidence about the target
   * @param elapsedMilliseconds - time since the request was sent
   * @param stated - what the target stated in its answer, if there is one
   */
  public end(
    id: string,
    outcome: AttemptOutcome | undefined,
    elapsedMilliseconds: number,
    { requests, rateLimit }: Pick<TargetStatement, 'requests' | 'rateLimit'>,
  ): void {
    const outstanding = this.parts.outstanding.add(id, -1);
    if (outcome !== undefined) this.parts.lostTargets.recordReached(id);
    const now = this.parts.clock.now();
    if (requests !== undefined) this.parts.outstanding.recordLoad(id, requests, now);
    const isNewRateLimit =
      rateLimit !== undefined &&
      this.parts.rateLimits.observe(id, rateLimit, now - elapsedMilliseconds, 'own');
    if (outcome !== undefined) this.recordOutcome(id, outcome, elapsedMilliseconds, 'own');
    this.queueReport({
      target: id,
      outstanding,
      ...(outcome === undefined
        ? {}
        : { outcome, elapsedMilliseconds: Math.round(elapsedMilliseconds) }),
      ...(requests === undefined ? {} : { reportedRequests: requests }),
      ...(isNewRateLimit ? { rateLimit } : {}),
    });
  }

  /** Records that the target is leaving, or asked this daemon to back off. */
  public recordNotice(
    { id: target, bornAt }: TargetEntry,
    { isLeaving, backoffMilliseconds }: TargetStatement,
  ): void {
    const { leavingTargets, backoffs, link, directory, selfName: sender } = this.parts;
    if (backoffMilliseconds === undefined) backoffs.recordTaken(target, bornAt);
    else backoffs.record(target, bornAt, backoffMilliseconds);
    if (!isLeaving || !leavingTargets.record({ target, bornAt }, 'own')) return;
    const message = {
      kind: 'leaving-targets',
      sender,
      leavingTargets: [{ target, bornAt }],
    } as const;
    link.send(directory.entryAddresses(), message);
  }

  /** Records that an attempt of this daemon takes unusually long. */
  public recordStall(id: string): void {
    this.parts.counters.add('steering', 'stalled');
    this.recordOutcome(id, 'stalled', 0, 'own');
    this.queueReport({
      target: id,
      outstanding: this.parts.outstanding.ownAt(id),
      outcome: 'stalled',
    });
  }

  /**
   * Records how an attempt of this daemon ended, after the end itself: whether the target or this
   * daemon's links had failed was not known then.
   */
  public recordLateOutcome(id: string, outcome: AttemptOutcome, startedAt: number): void {
    const elapsedMilliseconds = Math.round(this.parts.clock.now() - startedAt);
    const outstanding = this.parts.outstanding.ownAt(id);
    this.recordOutcome(id, outcome, elapsedMilliseconds, 'own');
    this.queueReport({ target: id, outstanding, outcome, elapsedMilliseconds });
  }

  /**
   * Records that this daemon failed to connect; others may still reach the target.
   *
   * @param isRefused - whether the connection was refused, rather than not established in time
   */
  public recordConnectFailure(id: string, isRefused: boolean): void {
    const target = this.parts.targets.get(id);
    if (target === undefined) return;
    const forMilliseconds = isRefused
      ? CONNECT_REFUSED_BLOCK_MILLISECONDS
      : CONNECT_FAILURE_BLOCK_MILLISECONDS;
    target.blockedUntil = this.parts.clock.now() + forMilliseconds;
    this.parts.lostTargets.recordFailure(id);
    this.parts.counters.add('steering', isRefused ? 'refused' : 'unreached');
    this.parts.logger.info('target-unreached', { target: id, isRefused, forMilliseconds });
  }

  /** Applies a peer's reports of its attempts. */
  public applyReports(peer: string, reports: readonly AttemptReport[]): void {
    const now = this.parts.clock.now();
    reports.forEach(
      ({
        target,
        outstanding,
        attemptKind,
        outcome,
        reportedRequests: load,
        elapsedMilliseconds: elapsed,
        rateLimit,
      }) => {
        this.parts.outstanding.setPeerCount(peer, target, outstanding);
        const known = this.parts.targets.get(target);
        if (known === undefined) return;
        if (attemptKind !== undefined) {
          known.usedAt = now;
          this.parts.retryBudgetShares
            .shareOf(known.entry.service)
            .recordPeerAttempt(attemptKind === 'repeated');
          this.parts.rateLimits.recordAttempt(known.entry);
        }
        if (outcome === 'good') this.parts.lostTargets.recordPeerAnswer(target);
        if (load !== undefined) this.parts.outstanding.recordLoad(target, load, now);
        if (outcome !== undefined) this.recordOutcome(target, outcome, elapsed ?? 0, peer);
        if (rateLimit !== undefined) {
          this.parts.rateLimits.observe(target, rateLimit, now - (elapsed ?? 0), peer);
        }
      },
    );
  }

  private recordOutcome(
    id: string,
    outcome: AttemptOutcome,
    elapsedMilliseconds: number,
    source: string,
  ): void {
    const target = this.parts.targets.get(id);
    if (target === undefined) return;
    // Only the peer's own links may have failed; trying the target costs less than a false suspicion.
    if (outcome === 'unreachable' && source !== 'own') return;
    const now = this.parts.clock.now();
    if (outcome === 'unreachable') target.blockedUntil = now + CONNECT_REFUSED_BLOCK_MILLISECONDS;
    if (outcome === 'refused') {
      this.parts.outstanding.recordLoad(id, target.entry.slots * 2, now);
      return;
    }
    if (outcome === 'dropped') this.parts.idleReuse.recordDrop(id);
    if (outcome !== 'stalled') {
      this.parts.failures.record(target.entry.service, outcome !== 'good');
    }
    const before = target.healthEstimate.unhealthyProbabilityAt(now);
    target.healthEstimate.observe(now, OBSERVATIONS[outcome], now - elapsedMilliseconds);
    const after = target.healthEstimate.unhealthyProbabilityAt(now);
    if (before >= SUSPECT_PROBABILITY === after >= SUSPECT_PROBABILITY) return;
    this.parts.counters.add('steering', after > before ? 'suspected' : 'cleared');
    this.parts.logger.info(after > before ? 'target-suspected' : 'target-cleared', {
      target: id,
      service: target.entry.service,
      outcome,
      source,
      before: round(before),
      after: round(after),
    });
  }

  private queueReport(report: AttemptReport): void {
    this.pendingReports.push(report);
    this.scheduleFlush(reportDelay(report, this.parts.directory.entryAddresses().length));
  }

  /** Sends what is pending within the time, or earlier. */
  private scheduleFlush(delay: number): void {
    const { clock } = this.parts;
    if (clock.now() + delay >= this.flushAt) return;
    this.cancelFlush?.();
    this.flushAt = clock.now() + delay;
    this.cancelFlush = clock.after(delay, () => this.flush());
  }

  private flush(): void {
    const reports = this.pendingReports;
    this.pendingReports = [];
    this.flushAt = Number.POSITIVE_INFINITY;
    const use = this.parts.quotas.takeReport();
    this.parts.link.send(this.parts.directory.entryAddresses(), {
      kind: 'calls',
      sender: this.parts.selfName,
      reports,
      ...(use === undefined ? {} : { use }),
    });
  }
}

/** @param receivers - number of daemons that get the report */
function reportDelay(
  { attemptKind, outcome, rateLimit }: AttemptReport,
  receivers: number,
): number {
  const factor = Math.max(1, receivers / RECEIVERS_AT_SHORTEST_DELAY);
  if (attemptKind !== undefined) return START_REPORT_DELAY_MILLISECONDS * factor;
  const isRoutine = (outcome === undefined || outcome === 'good') && rateLimit === undefined;
  return isRoutine ? END_REPORT_DELAY_MILLISECONDS * factor : FAILURE_REPORT_DELAY_MILLISECONDS;
}

function round(probability: number): number {
  return Math.round(probability * 1000) / 1000;
}
