/**
 * Runs requests with a ticket at most once. Only the daemon that issued the ticket runs the
 * request; other daemons forward it there. A retry joins the run in progress, or receives the
 * stored answer or the recorded outcome.
 */
import { createHash } from 'node:crypto';
import { PassThrough, Readable, Transform } from 'node:stream';
import type { Clock, Counters, Host } from '@cactusrun/core';
import { OUTCOME_RULES } from '@cactusrun/core';
import type {
  AdmittedRun,
  Answered,
  AttemptResult,
  LedgerEntry,
  RequestBody,
  RunEnd,
  TicketFields,
  TicketIssuer,
} from '@cactusrun/requests';
import { readTicket, TicketLedger } from '@cactusrun/requests';
import type { CallerAnswer, CallerRequest } from './CallerRequest.js';
import { refused } from './CallerRequest.js';
import type StopGate from './StopGate.js';

/** Longer answers are not stored for retries. */
const MAXIMUM_STORED_ANSWER_BYTES = 256 * 1024;

/** Runs the request once; `onAdmitted` is called when it may be sent to a target. */
export type RunOnce = (
  body: RequestBody,
  signal: AbortSignal,
  onAdmitted: () => void,
) => Promise<AttemptResult>;

export interface TicketedRequestsOptions {
  readonly issuer: TicketIssuer;
  readonly ledger: TicketLedger;
  readonly self: Host;
  readonly gate: StopGate;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Forwards a request to the daemon that issued its ticket. */
  readonly forward: (
    ticketFields: TicketFields,
    request: CallerRequest,
    deadline: number,
  ) => Promise<CallerAnswer>;
}

function digestOf(bytes: Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}

/** Passes the body through and reports its digest at the end, undefined if it was truncated. */
function hashBody(body: RequestBody, onDigest: (digest: string | undefined) => void): RequestBody {
  if (body.rest === undefined) {
    onDigest(digestOf(body.head));
    return body;
  }
  const hash = createHash('sha256').update(body.head);
  const rest = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      hash.update(chunk);
      done(null, chunk);
    },
    flush(done) {
      onDigest(hash.digest('hex'));
      done();
    },
  });
  rest.on('error', () => {});
  body.rest.on('error', (error) => rest.destroy(error));
  rest.on('close', () => onDigest(undefined));
  body.rest.pipe(rest);
  return { ...body, rest };
}

export default class TicketedRequests {
  constructor(private readonly options: TicketedRequestsOptions) {}

  /** Issues a ticket that names this daemon. */
  public issue(): string {
    return this.options.issuer.issue(this.options.clock.now());
  }

  /** Whether an earlier request with this ticket may have run; true for other daemons' tickets. */
  public mayHaveRun(ticket: string): boolean {
    const { issuer, ledger } = this.options;
    return !issuer.isOwn(ticket) || ledger.mayHaveBeenUsed(ticket);
  }

  /**
   * Handles a request that must not run twice.
   *
   * @param deadline - monotonic time after which the caller no longer waits
   */
  public async handle(
    request: CallerRequest,
    deadline: number,
    runOnce: RunOnce,
  ): Promise<CallerAnswer> {
    const { ticket } = request;
    if (ticket === undefined) return refused('ticket-required');
    const ticketFields = readTicket(ticket);
    if (ticketFields === undefined) return refused('ticket-malformed');
    if (ticketFields.incarnation !== this.options.self.incarnation) {
      return this.forwardToOwner(ticketFields, request, deadline);
    }
    if (!this.options.issuer.isOwn(ticket)) return refused('ticket-malformed');
    return this.handleOwn(ticket, request, deadline, runOnce);
  }

  private forwardToOwner(
    ticketFields: TicketFields,
    request: CallerRequest,
    deadline: number,
  ): Promise<CallerAnswer> | CallerAnswer {
    if (request.isForwarded) return refused('owner-gone', ticketFields.host);
    // An earlier request with the ticket may have run, which only its owner knows.
    if (this.options.gate.isClosed) return refused('stopped');
    this.options.counters.add('tickets', 'forwarded');
    return this.options.forward(ticketFields, request, deadline);
  }

  private async handleOwn(
    ticket: string,
    request: CallerRequest,
    deadline: number,
    runOnce: RunOnce,
  ): Promise<CallerAnswer> {
    const requestKey = [request.method, request.path, request.workspace, request.caller].join(' ');
    const admission = this.options.ledger.admit(ticket, { requestKey });
    if (admission.kind === 'refused') return refused(admission.reason);
    if (admission.kind === 'run') return TicketedRequests.run(admission.run, request, runOnce);
    const joined = await this.join(admission.entry, request, deadline);
    if (joined !== 'not-run') return joined;
    return request.body.isWhole
      ? this.handleOwn(ticket, request, deadline, runOnce)
      : refused('first-not-run');
  }

  private static async run(
    run: AdmittedRun,
    request: CallerRequest,
    runOnce: RunOnce,
  ): Promise<CallerAnswer> {
    const body = hashBody(request.body, run.setBodyDigest);
    const controller = new AbortController();
    let isAdmitted = false;
    const onCallerDisconnect = () => {
      // A run that may have reached a target continues: the caller may retry to get the answer.
      if (!isAdmitted || !body.isWhole) controller.abort();
    };
    request.signal.addEventListener('abort', onCallerDisconnect, { once: true });
    if (request.signal.aborted) onCallerDisconnect();
    const result = await runOnce(body, controller.signal, () => {
      isAdmitted = true;
    });
    request.signal.removeEventListener('abort', onCallerDisconnect);
    if (result.kind === 'answered') return TicketedRequests.relayAndStore(run, result);
    if (OUTCOME_RULES[result.reason].kind === 'not-run') run.release();
    else run.inDoubt(result.reason);
    return refused(result.reason, result.detail);
  }

  /** Streams the answer to the caller and stores a copy, also after the caller has disconnected. */
  private static relayAndStore(run: AdmittedRun, result: Answered): CallerAnswer {
    const relay = new PassThrough();
    const chunks: Buffer[] = [];
    let size = 0;
    const { status, headers, body } = result;
    body.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= MAXIMUM_STORED_ANSWER_BYTES) chunks.push(chunk);
      if (relay.destroyed || relay.write(chunk)) return;
      body.pause();
      relay.once('drain', () => body.resume());
      relay.once('close', () => body.resume());
    });
    body.on('end', () => {
      const isStored = size <= MAXIMUM_STORED_ANSWER_BYTES;
      run.answered(isStored ? { status, headers, body: Buffer.concat(chunks) } : undefined);
      relay.end();
    });
    body.on('error', (error) => {
      run.inDoubt('target-broke-off');
      relay.destroy(error);
    });
    relay.on('error', () => {});
    return { kind: 'answered', status, headers, body: relay };
  }

  private async join(
    entry: LedgerEntry,
    request: CallerRequest,
    deadline: number,
  ): Promise<CallerAnswer | 'not-run'> {
    const timerController = new AbortController();
    const timeout = this.options.clock
      .sleep(deadline - this.options.clock.now(), timerController.signal)
      .then(() => refused('target-timeout', 'joined a run that did not end in time'));
    const answer = await Promise.race([TicketedRequests.joinToEnd(entry, request), timeout]);
    timerController.abort();
    return answer;
  }

  private static async joinToEnd(
    entry: LedgerEntry,
    request: CallerRequest,
  ): Promise<CallerAnswer | 'not-run'> {
    const digest = await readDigest(request.body);
    const expected = await Promise.race([entry.bodyDigest, entry.ended.then(() => undefined)]);
    const isDifferentBody = expected !== undefined && digest !== expected;
    if (digest === undefined || isDifferentBody) return refused('ticket-mismatch');
    const end = await TicketLedger.endOf(entry);
    return end === undefined ? 'not-run' : answerOf(end);
  }
}

/** Reads the body to its end, discards it and returns its digest, undefined if it is truncated. */
function readDigest(body: RequestBody): Promise<string | undefined> {
  return new Promise((resolve) => {
    const hashed = hashBody(body, resolve);
    hashed.rest?.on('error', () => resolve(undefined));
    hashed.rest?.resume();
  });
}

function answerOf(end: RunEnd): CallerAnswer {
  if (end.kind === 'in-doubt') return refused(end.reason, 'as the first sending was told');
  if (end.answer === undefined) return refused('answer-not-kept');
  const { status, headers, body } = end.answer;
  return { kind: 'answered', status, headers, body: Readable.from([body], { objectMode: false }) };
}
