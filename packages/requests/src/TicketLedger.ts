/**
 * What one incarnation remembers of the tickets used with it. A ticket runs at most once: a
 * re-sent request joins the run in flight, gets the kept answer, or is told the truth. Memory is
 * bounded; what is dropped moves a floor, below which an unknown ticket is never taken as new.
 */
import type { Clock, Counters, OutcomeReason } from '@cactusrun/core';
import type { HeaderField } from './Attempt.js';
import { readTicket } from './Ticket.js';

/** A ticket may start a run for this long. */
export const TICKET_LIFETIME_MILLISECONDS = 600_000;
/** A used ticket is remembered for this long after it was issued. */
const MEMORY_MILLISECONDS = 2 * TICKET_LIFETIME_MILLISECONDS;
/** Dropping goes on a little below the limit, so that it need not run for each answer. */
const DROP_TO_SHARE = 0.9;

export interface TicketLedgerLimits {
  /** Used tickets remembered at most. */
  readonly tickets: number;
  /** Bytes of all kept answers together. */
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

/** How a run ended, for whoever sends the request again. */
export type RunEnd =
  | { readonly kind: 'answered'; readonly answer: KeptAnswer | undefined }
  | { readonly kind: 'in-doubt'; readonly reason: OutcomeReason };

/** What the ticket was used for; compared before anything is released. */
export interface TicketUse {
  /** Method, path, caller and named space. */
  readonly requestKey: string;
}

export interface LedgerEntry extends TicketUse {
  readonly ticket: string;
  readonly issuedAt: number;
  /** Digest of the body; settles when it was read to its end. */
  readonly bodyDigest: Promise<string | undefined>;
  /** Settles when the run has ended; undefined when it was proved not to have run. */
  readonly ended: Promise<RunEnd | undefined>;
}

/** A run that was admitted; exactly one of the calls ends it. */
export interface AdmittedRun {
  /** Tells the digest of the body, or undefined when the body was cut. */
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

function bytesOf(end: RunEnd | undefined): number {
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
  /** In the order in which the tickets were admitted. */
  private readonly entries = new Map<string, MutableEntry>();

  private keptBytes = 0;

  private floor = -1;

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

  /** Whether the ticket was used, or may have been and is forgotten. */
  public has(ticket: string): boolean {
    const issuedAt = readTicket(ticket)?.issuedAt ?? -1;
    return this.entries.has(ticket) || this.refuseUnknown(issuedAt) === 'ticket-forgotten';
  }

  /** Decides what a request with this ticket may do; the ticket is known to be this issuer's. */
  public admit(ticket: string, use: TicketUse): Admission {
    this.expire();
    const known = this.entries.get(ticket);
    if (known !== undefined) return this.admitKnown(known, use);
    const issuedAt = readTicket(ticket)?.issuedAt ?? -1;
    const refused = this.refuseUnknown(issuedAt);
    if (refused !== undefined) return { kind: 'refused', reason: refused };
    if (!this.makeRoom()) return { kind: 'refused', reason: 'ticket-capacity' };
    return { kind: 'run', run: this.begin(ticket, issuedAt, use) };
  }

  private admitKnown(entry: MutableEntry, use: TicketUse): Admission {
    if (entry.requestKey !== use.requestKey) {
      return { kind: 'refused', reason: 'ticket-mismatch' };
    }
    this.counters.add('tickets', entry.end === undefined ? 'joined' : 'kept-outcome');
    return { kind: 'join', entry };
  }

  private refuseUnknown(issuedAt: number): OutcomeReason | undefined {
    const age = this.clock.now() - issuedAt;
    if (issuedAt <= this.floor || age > MEMORY_MILLISECONDS) return 'ticket-forgotten';
    if (age > TICKET_LIFETIME_MILLISECONDS) return 'ticket-expired';
    return undefined;
  }

  private begin(ticket: string, issuedAt: number, use: TicketUse): AdmittedRun {
    const digest = defer<string | undefined>();
    const ended = defer<RunEnd | undefined>();
    let last: RunEnd | undefined;
    const entry: MutableEntry = {
      ...use,
      ticket,
      issuedAt,
      bodyDigest: digest.promise,
      ended: ended.promise,
      get end() {
        return last;
      },
      get answerBytes() {
        return bytesOf(last);
      },
      setEnd: (end) => {
        last = end;
      },
    };
    this.entries.set(ticket, entry);
    this.counters.add('tickets', 'run');
    const finish = (end: RunEnd) => {
      if (entry.end !== undefined) return;
      this.keep(entry, end);
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

  private keep(entry: MutableEntry, end: RunEnd): void {
    entry.setEnd(end);
    this.keptBytes += entry.answerBytes;
    if (this.keptBytes > this.limits.answerBytes) this.dropAnswers();
  }

  /** Drops the oldest kept answers until the rest fit; that they ran is still remembered. */
  private dropAnswers(): void {
    const withAnswer = [...this.entries.values()].filter((entry) => entry.answerBytes > 0);
    withAnswer.every((entry) => {
      this.dropAnswer(entry);
      return this.keptBytes > this.limits.answerBytes * DROP_TO_SHARE;
    });
  }

  private dropAnswer(entry: MutableEntry): void {
    this.keptBytes -= entry.answerBytes;
    entry.setEnd({ kind: 'answered', answer: undefined });
    this.counters.add('tickets', 'answer-dropped');
  }

  /** The outcome of a run as it stands now, for a request that joins after the end. */
  public static async endOf(entry: LedgerEntry): Promise<RunEnd | undefined> {
    const end = await entry.ended;
    return (entry as MutableEntry).end ?? end;
  }

  private expire(): void {
    let oldest = this.oldest();
    while (oldest?.end !== undefined && this.clock.now() - oldest.issuedAt > MEMORY_MILLISECONDS) {
      this.forget(oldest);
      oldest = this.oldest();
    }
  }

  private oldest(): MutableEntry | undefined {
    return this.entries.values().next().value;
  }

  private makeRoom(): boolean {
    if (this.entries.size < this.limits.tickets) return true;
    const ended = this.firstEnded();
    if (ended === undefined) return false;
    this.forget(ended);
    this.counters.add('tickets', 'forgotten');
    return true;
  }

  private firstEnded(): MutableEntry | undefined {
    const iterator = this.entries.values();
    let entry: MutableEntry | undefined = iterator.next().value;
    while (entry !== undefined && entry.end === undefined) entry = iterator.next().value;
    return entry;
  }

  private forget(entry: MutableEntry): void {
    if (entry.answerBytes > 0) this.dropAnswer(entry);
    this.entries.delete(entry.ticket);
    this.floor = Math.max(this.floor, entry.issuedAt);
  }
}
