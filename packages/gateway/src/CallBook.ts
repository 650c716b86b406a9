/**
 * The evidence of calls to targets: takes in how this daemon's own calls and those of its peers
 * ended, and tells peers of the own ones within milliseconds.
 */
import type { Clock, Counters, Logger } from '@cactusrun/core';
import type EntryDirectory from './EntryDirectory.js';
import type FailureShares from './FailureShares.js';
import type IdleReuse from './IdleReuse.js';
import type OutstandingCalls from './OutstandingCalls.js';
import type { PeerSender } from './PeerLink.js';
import type { CallOutcome, CallReport } from './PeerMessage.js';
import type RetryAllowances from './RetryAllowances.js';
import type { Observation } from './SicknessBelief.js';
import type TargetTable from './TargetTable.js';
import type { KnownTarget } from './TargetTable.js';

/**
 * Reports go out together after the shortest of these times. Whoever places requests must know at once
 * of failures, soon of requests that begin, and of room that is free again before it is needed.
 */
const TELL_FAILURE_MILLISECONDS = 1;
const TELL_BEGINNING_MILLISECONDS = 4;
const TELL_END_MILLISECONDS = 12;
/** No daemon connects to a target for this long after its address refused a connection. */
const REFUSED_MILLISECONDS = 1_000;
/** This daemon does not connect for this long after a connection did not come about in time. */
const UNREACHED_MILLISECONDS = 2_000;
/** Probability of sickness at which a change of mind is logged. */
const SUSPECT_PROBABILITY = 0.6;

/** What an outcome says of the target's health. */
const OBSERVATIONS: Readonly<Record<Exclude<CallOutcome, 'refused'>, Observation>> = {
  good: 'good',
  failed: 'failed',
  stalled: 'stalled',
  unreachable: 'failed',
  dropped: 'dropped',
};

export interface CallBookParts {
  readonly selfName: string;
  readonly targets: TargetTable;
  readonly outstanding: OutstandingCalls;
  readonly failures: FailureShares;
  readonly idleReuse: IdleReuse;
  readonly allowances: RetryAllowances;
  readonly directory: EntryDirectory;
  readonly link: PeerSender;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class CallBook {
  private pending: CallReport[] = [];

  /** When the pending reports go out. */
  private flushAt = Number.POSITIVE_INFINITY;

  private cancelFlush: (() => void) | undefined;

  constructor(private readonly parts: CallBookParts) {}

  /**
   * This daemon is about to send a request to the target.
   *
   * @param isRepeated - whether the request was sent before
   */
  public begin(target: KnownTarget, isRepeated: boolean): void {
    const { id } = target.entry;
    const outstanding = this.parts.outstanding.add(id, 1);
    this.parts.targets.get(id)!.usedAt = this.parts.clock.now();
    this.tell({ target: id, outstanding, begins: isRepeated ? 'repeated' : 'fresh' });
  }

  /**
   * A request of this daemon has ended.
   *
   * @param outcome - undefined when the end says nothing of the target
   * @param elapsed - milliseconds since it was sent
   * @param there - requests that the target said it holds
   */
  public end(
    id: string,
    outcome: CallOutcome | undefined,
    elapsed: number,
    there: number | undefined,
  ): void {
    const outstanding = this.parts.outstanding.add(id, -1);
    if (there !== undefined) this.parts.outstanding.noteSeen(id, there, this.parts.clock.now());
    if (outcome !== undefined) this.weigh(id, outcome, elapsed, 'own');
    this.tell({
      target: id,
      outstanding,
      ...(outcome === undefined ? {} : { outcome, elapsed: Math.round(elapsed) }),
      ...(there === undefined ? {} : { there }),
    });
  }

  /** A request of this daemon takes unusually long. */
  public noteStall(id: string): void {
    this.parts.counters.add('steering', 'stalled');
    this.weigh(id, 'stalled', 0, 'own');
    this.tell({ target: id, outstanding: this.parts.outstanding.ownAt(id), outcome: 'stalled' });
  }

  /** A connection did not come about in time from here; others may still reach the target. */
  public noteUnreached(id: string): void {
    const target = this.parts.targets.get(id);
    if (target === undefined) return;
    target.blockedUntil = this.parts.clock.now() + UNREACHED_MILLISECONDS;
    this.parts.counters.add('steering', 'unreached');
    this.parts.logger.info('target-unreached', {
      target: id,
      forMilliseconds: UNREACHED_MILLISECONDS,
    });
  }

  /** A peer reported on its calls. */
  public hear(peer: string, reports: readonly CallReport[]): void {
    const now = this.parts.clock.now();
    reports.forEach(({ target, outstanding, begins, outcome, there, elapsed }) => {
      this.parts.outstanding.learn(peer, target, outstanding);
      const known = this.parts.targets.get(target);
      if (known === undefined) return;
      if (begins !== undefined) {
        known.usedAt = now;
        this.parts.allowances.of(known.entry.service).hear(begins === 'repeated');
      }
      if (there !== undefined) this.parts.outstanding.noteSeen(target, there, now);
      if (outcome !== undefined) this.weigh(target, outcome, elapsed ?? 0, peer);
    });
  }

  private weigh(id: string, outcome: CallOutcome, elapsed: number, source: string): void {
    const target = this.parts.targets.get(id);
    if (target === undefined) return;
    const now = this.parts.clock.now();
    if (outcome === 'unreachable') target.blockedUntil = now + REFUSED_MILLISECONDS;
    if (outcome === 'refused') {
      this.parts.outstanding.noteSeen(id, target.entry.slots * 2, now);
      return;
    }
    if (outcome === 'dropped') this.parts.idleReuse.noteDrop(id);
    if (outcome !== 'stalled') {
      this.parts.failures.note(target.entry.service, outcome !== 'good');
    }
    const before = target.belief.probabilityAt(now);
    target.belief.observe(now, OBSERVATIONS[outcome], now - elapsed);
    const after = target.belief.probabilityAt(now);
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

  private tell(report: CallReport): void {
    const { clock } = this.parts;
    this.pending.push(report);
    const wait = longestWait(report);
    if (clock.now() + wait >= this.flushAt) return;
    this.cancelFlush?.();
    this.flushAt = clock.now() + wait;
    this.cancelFlush = clock.after(wait, () => this.flush());
  }

  private flush(): void {
    const reports = this.pending;
    this.pending = [];
    this.flushAt = Number.POSITIVE_INFINITY;
    this.parts.link.send(this.parts.directory.entryAddresses(), {
      kind: 'calls',
      sender: this.parts.selfName,
      reports,
    });
  }
}

function longestWait({ begins, outcome }: CallReport): number {
  if (begins !== undefined) return TELL_BEGINNING_MILLISECONDS;
  const isOrdinary = outcome === undefined || outcome === 'good';
  return isOrdinary ? TELL_END_MILLISECONDS : TELL_FAILURE_MILLISECONDS;
}

function round(probability: number): number {
  return Math.round(probability * 1000) / 1000;
}
