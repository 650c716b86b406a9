/**
 * The tickets that were used with one incarnation. A ticket runs at most once: a retry joins the
 * running request, gets the kept answer, or gets the known outcome. Memory is bounded; an unknown
 * ticket that is not newer than an evicted one is never accepted as new.
 */
import type { Clock, Counters, OutcomeReason } from '@cactusrun/core';
import type { HeaderField } from './Attempt.js';
import { readTicket } from './Ticket.js';

/** A ticket may start a run within this time after it was issued. */
export const TICKET_LIFETIME_MILLISECONDS = 600_000;
/** A used ticket is retained for this time after it was issued. */
const RETENTION_MILLISECONDS = 2 * TICKET_LIFETIME_MILLISECONDS;
/** Eviction stops at this fraction of the limit, so that it does not run for every answer. */
const EVICTION_TARGET_RATIO = 0.9;

export interface TicketLedgerLimits {
  /** Maximum number of used tickets. */
  readonly tickets: number;
  /** Maximum bytes of all kept answers. */
  readonly answerBytes: number;
}

export const DEFAULT_LEDGER_LIMITS: TicketLedgerLimits = {
  tickets: 50_000,
  answerBytes: 32 * 1024 * 1024,
};

export interface KeptAnswer {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Buffer;
}

/** The end of a run, as reported to a retry with the same ticket. */
export type RunEnd =
  | { readonly kind: 'answered'; readonly answer: KeptAnswer | undefined }
  | { readonly kind: 'in-doubt'; readonly reason: OutcomeReason };

/** Identifies the request of a ticket; compared before an outcome is disclosed. */
export interface TicketUse {
  /** Method, path, workspace and caller. */
  readonly requestKey: string;
}

export interface LedgerEntry extends TicketUse {
  readonly ticket: string;
  readonly issuedAt: number;
  /** Digest of the body; settles when the body was read completely or was truncated. */
  readonly bodyDigest: Promise<string | undefined>;
  /** Settles when the run has ended, with undefined if it was proved not to have run. */
  readonly ended: Promise<RunEnd | undefined>;
}

/** An admitted run; ended by exactly one call of `release`, `answered` or `inDoubt`. */
export interface AdmittedRun {
  /** Sets the digest of the body, or undefined if the body was truncated. */
  setBodyDigest(digest: string | undefined): void;
  /** The request was proved not to have run: the ticket may be used again. */
  release(): void;
  answered(answer: KeptAnswer | undefined): void;
  inDoubt(reason: OutcomeReason): void;
}

export type Admission =
  | { readonly kind: 'run'; readonly run: AdmittedRun }
  | { readonly kind: 'join'; readonly entry: LedgerEntry }
  | { readonly kind: 'refused'; readonly reason: OutcomeReason };

interface MutableEntry extends LedgerEntry {
  readonly setEnd: (end: RunEnd) => void;
  readonly end: RunEnd | undefined;
  readonly answerBytes: number;
}

function answerBytesOf(end: RunEnd | undefined): number {
  return end?.kind === 'answered' ? (end.answer?.body.length ?? 0) : 0;
}

interface Deferred<Value> {
  readonly promise: Promise<Value>;
  readonly resolve: (value: Value) => void;
}

function defer<Value>(): Deferred<Value> {
  let resolve: (value: Value) => void = () => {};
  const promise = new Promise<Value>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}

export default class TicketLedger {
  /** In order of admission. */
  private readonly entries = new Map<string, MutableEntry>();

  private keptBytes = 0;

  /** Newest issue time of an evicted ticket. */
  private evictedUpTo = -1;

  constructor(
    private readonly clock: Clock,
    private readonly counters: Counters,
    private readonly limits: TicketLedgerLimits = DEFAULT_LEDGER_LIMITS,
  ) {}

  public get size(): number {
    return this.entries.size;
  }

  public get answerBytes(): number {
    return this.keptBytes;
  }

  /** Whether the ticket was used, or may have been used and evicted. */
  public mayHaveBeenUsed(ticket: string): boolean {
    const issuedAt = readTicket(ticket)?.issuedAt ?? -1;
    return this.entries.has(ticket) || this.reasonToRefuse(issuedAt) === 'ticket-forgotten';
  }

  /** Decides whether a request may run; its ticket must be verified to be of this issuer. */
  public admit(ticket: string, use: TicketUse): Admission {
    this.evictExpired();
    const existing = this.entries.get(ticket);
    if (existing !== undefined) return this.admitExisting(existing, use);
    const issuedAt = readTicket(ticket)?.issuedAt ?? -1;
    const refused = this.reasonToRefuse(issuedAt);
    if (refused !== undefined) return { kind: 'refused', reason: refused };
    if (!this.ensureCapacity()) return { kind: 'refused', reason: 'ticket-capacity' };
    return { kind: 'run', run: this.startRun(ticket, issuedAt, use) };
  }

  private admitExisting(entry: MutableEntry, use: TicketUse): Admission {
    if (entry.requestKey !== use.requestKey) {
      return { kind: 'refused', reason: 'ticket-mismatch' };
    }
    this.counters.add('tickets', entry.end === undefined ? 'joined' : 'kept-outcome');
    return { kind: 'join', entry };
  }

  private reasonToRefuse(issuedAt: number): OutcomeReason | undefined {
    const age = this.clock.now() - issuedAt;
    if (issuedAt <= this.evictedUpTo || age > RETENTION_MILLISECONDS) return 'ticket-forgotten';
    if (age > TICKET_LIFETIME_MILLISECONDS) return 'ticket-expired';
    return undefined;
  }

  private startRun(ticket: string, issuedAt: number, use: TicketUse): AdmittedRun {
    const digest = defer<string | undefined>();
    const ended = defer<RunEnd | undefined>();
    let currentEnd: RunEnd | undefined;
    const entry: MutableEntry = {
      ...use,
      ticket,
      issuedAt,
      bodyDigest: digest.promise,
      ended: ended.promise,
      get end() {
        return currentEnd;
      },
      get answerBytes() {
        return answerBytesOf(currentEnd);
      },
      setEnd: (end) => {
        currentEnd = end;
      },
    };
    this.entries.set(ticket, entry);
    this.counters.add('tickets', 'run');
    const finish = (end: RunEnd) => {
      if (entry.end !== undefined) return;
      this.storeEnd(entry, end);
      ended.resolve(end);
    };
    return {
      setBodyDigest: digest.resolve,
      release: () => {
        this.entries.delete(ticket);
        this.counters.add('tickets', 'released');
        ended.resolve(undefined);
      },
      answered: (answer) => finish({ kind: 'answered', answer }),
      inDoubt: (reason) => finish({ kind: 'in-doubt', reason }),
    };
  }

  private storeEnd(entry: MutableEntry, end: RunEnd): void {
    entry.setEnd(end);
    this.keptBytes += entry.answerBytes;
    if (this.keptBytes > this.limits.answerBytes) this.evictAnswers();
  }

  /** Evicts the oldest kept answers; the entries of their tickets are retained. */
  private evictAnswers(): void {
    const withAnswer = [...this.entries.values()].filter((entry) => entry.answerBytes > 0);
    withAnswer.every((entry) => {
      this.evictAnswer(entry);
      return this.keptBytes > this.limits.answerBytes * EVICTION_TARGET_RATIO;
    });
  }

  private evictAnswer(entry: MutableEntry): void {
    this.keptBytes -= entry.answerBytes;
    entry.setEnd({ kind: 'answered', answer: undefined });
    this.counters.add('tickets', 'answer-dropped');
  }

  /** Resolves to the current end of a run, without an answer that was evicted meanwhile. */
  public static async endOf(entry: LedgerEntry): Promise<RunEnd | undefined> {
    const end = await entry.ended;
    return (entry as MutableEntry).end ?? end;
  }

  private evictExpired(): void {
    let oldest = this.oldest();
    while (
      oldest?.end !== undefined &&
      this.clock.now() - oldest.issuedAt > RETENTION_MILLISECONDS
    ) {
      this.evict(oldest);
      oldest = this.oldest();
    }
  }

  private oldest(): MutableEntry | undefined {
    return this.entries.values().next().value;
  }

  private ensureCapacity(): boolean {
    if (this.entries.size < this.limits.tickets) return true;
    const ended = this.oldestEnded();
    if (ended === undefined) return false;
    this.evict(ended);
    this.counters.add('tickets', 'forgotten');
    return true;
  }

  private oldestEnded(): MutableEntry | undefined {
    const iterator = this.entries.values();
    let entry: MutableEntry | undefined = iterator.next().value;
    while (entry !== undefined && entry.end === undefined) entry = iterator.next().value;
    return entry;
  }

  private evict(entry: MutableEntry): void {
    if (entry.answerBytes > 0) this.evictAnswer(entry);
    this.entries.delete(entry.ticket);
    this.evictedUpTo = Math.max(this.evictedUpTo, entry.issuedAt);
  }
}
