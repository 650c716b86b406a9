/** The server that callers connect to: HTTP in, the outcome out. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, Counters, OutcomeReason, Stop } from '@cactusrun/core';
import { CactusrunError, OUTCOME_RULES } from '@cactusrun/core';
import { listHeaders, refuseMalformed } from '@cactusrun/requests';
import type { CallerAnswer, CallerRequest } from './CallerRequest.js';
import { CALLER_HEADERS, refused } from './CallerRequest.js';
import type CallerDirectory from './CallerDirectory.js';
import { DIRECTORY_PATH } from './CallerDirectory.js';
import { forwardedHeaders, joinHeaders } from './headers.js';
import type { BodyHead } from './readBodyHead.js';
import { readBodyHead } from './readBodyHead.js';

/** Longest wait for the head of a request, and for the first part of its body. */
const HEAD_MILLISECONDS = 10_000;
const IDLE_MILLISECONDS = 5_000;
/** Time for the last answers to leave before connections are closed. */
const LAST_ANSWER_MILLISECONDS = 1_000;
const DEFAULT_WORKSPACE = 'default';

export interface EntryServerOptions {
  /** `ip:port` to listen on. */
  readonly address: string;
  readonly zone: string;
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly directory: CallerDirectory;
  readonly handle: (request: CallerRequest) => Promise<CallerAnswer>;
  readonly issueTicket: () => string;
  /** Whether an earlier sending with the ticket may have run. */
  readonly mayHaveRun: (ticket: string) => boolean;
}

const BODY_REFUSALS: Readonly<Record<Exclude<BodyHead['kind'], 'read'>, OutcomeReason>> = {
  'too-slow': 'request-too-slow',
  'too-large': 'request-too-large',
  cut: 'caller-cancelled',
};

export default class EntryServer {
  private readonly server: Server;

  private inFlight = 0;

  private isStopping = false;

  private onIdle: (() => void) | undefined;

  constructor(private readonly options: EntryServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: options.headerBytes,
        headersTimeout: HEAD_MILLISECONDS,
        requestTimeout: 0,
        keepAliveTimeout: IDLE_MILLISECONDS,
        noDelay: true,
      },
      (request, response) => {
        this.serve(request, response).catch(() => response.destroy());
      },
    );
    this.server.on('clientError', (error, socket) => this.endMalformed(error, socket as Socket));
  }

  /**
   * Serves until the returned function is called; that waits for the requests in flight.
   *
   * @throws CactusrunError when the address cannot be bound
   */
  public async start(): Promise<Stop> {
    const { address } = this.options;
    const [ip, port] = address.split(':');
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', (error) => {
        reject(new CactusrunError(error.message, { step: 'binding for callers', peer: address }));
      });
      this.server.listen(Number(port), ip, resolve);
    });
    return () => this.stop();
  }

  /** Requests of callers that are not answered yet. */
  public get requestsInFlight(): number {
    return this.inFlight;
  }

  private async stop(): Promise<void> {
    this.isStopping = true;
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeIdleConnections();
    if (this.inFlight > 0) {
      await new Promise<void>((resolve) => {
        this.onIdle = resolve;
      });
    }
    this.server.closeIdleConnections();
    await Promise.race([closed, this.options.clock.sleep(LAST_ANSWER_MILLISECONDS)]);
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { directory, counters, clock } = this.options;
    if ((request.url ?? '').startsWith(DIRECTORY_PATH)) {
      directory.serve(request, response);
      return;
    }
    const startedAt = clock.now();
    this.inFlight += 1;
    response.on('close', () => {
      this.inFlight -= 1;
      if (this.inFlight === 0) this.onIdle?.();
      counters.time('request', clock.now() - startedAt);
    });
    const controller = new AbortController();
    // Only a caller who left before the answer was whole is gone; aborting is not cheap.
    response.on('close', () => {
      if (!response.writableFinished) controller.abort();
    });
    const answer = await this.answer(request, controller.signal);
    this.respond(response, answer);
  }

  private async answer(request: IncomingMessage, signal: AbortSignal): Promise<CallerAnswer> {
    const { bodyBytes, clock, handle } = this.options;
    const head = await readBodyHead(request, bodyBytes, HEAD_MILLISECONDS, clock);
    if (head.kind !== 'read') return this.refuseUnread(request, BODY_REFUSALS[head.kind]);
    return handle(this.describe(request, head, signal));
  }

  /** A sending whose body was not read proves nothing about an earlier one with its ticket. */
  private refuseUnread(request: IncomingMessage, reason: OutcomeReason): CallerAnswer {
    const ticket = request.headers[CALLER_HEADERS.ticket];
    const isDoubtful = typeof ticket === 'string' && this.options.mayHaveRun(ticket);
    return refused(isDoubtful ? 'request-incomplete' : reason);
  }

  private describe(
    request: IncomingMessage,
    head: Extract<BodyHead, { kind: 'read' }>,
    signal: AbortSignal,
  ): CallerRequest {
    const field = (name: string) => request.headers[name] as string | undefined;
    const limit = Number(field(CALLER_HEADERS.deadline));
    return {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: listHeaders(request.rawHeaders),
      body: head.body,
      workspace: field(CALLER_HEADERS.workspace) ?? DEFAULT_WORKSPACE,
      caller: createHash('sha256')
        .update(field('authorization') ?? '')
        .digest('base64url'),
      callerZone: field(CALLER_HEADERS.zone) ?? this.options.zone,
      ticket: field(CALLER_HEADERS.ticket),
      limitMilliseconds: Number.isFinite(limit) && limit > 0 ? limit : undefined,
      signal,
      isForwarded: false,
    };
  }

  private respond(response: ServerResponse, answer: CallerAnswer): void {
    if (response.destroyed) {
      if (answer.kind === 'answered') answer.body.destroy();
      this.options.counters.add('outcomes', 'caller-gone');
      return;
    }
    if (this.isStopping || !response.req.complete) response.setHeader('connection', 'close');
    response.setHeader(CALLER_HEADERS.ticket, this.options.issueTicket());
    if (answer.kind === 'refused') this.refuse(response, answer.reason, answer.detail);
    else this.passOn(response, answer);
  }

  private passOn(response: ServerResponse, answer: Extract<CallerAnswer, { kind: 'answered' }>) {
    const { counters } = this.options;
    const { body } = answer;
    response.setHeader(CALLER_HEADERS.outcome, 'answered');
    response.writeHead(answer.status, joinHeaders(forwardedHeaders(answer.headers)));
    body.on('error', () => {
      counters.add('outcomes', 'answer-broke-off');
      response.destroy();
    });
    response.on('close', () => {
      if (!response.writableFinished) body.destroy();
    });
    response.on('finish', () => counters.add('outcomes', 'answered'));
    body.pipe(response);
  }

  private refuse(response: ServerResponse, reason: OutcomeReason, detail: string): void {
    const rule = OUTCOME_RULES[reason];
    this.options.counters.add('outcomes', reason);
    const body = `${JSON.stringify({
      outcome: rule.kind,
      reason,
      retry: rule.advice,
      meaning: rule.meaning,
      ...(detail === '' ? {} : { detail }),
    })}\n`;
    if (rule.retryAfterSeconds > 0) response.setHeader('retry-after', rule.retryAfterSeconds);
    response.setHeader(CALLER_HEADERS.outcome, rule.kind);
    response.setHeader(CALLER_HEADERS.reason, reason);
    response.setHeader(CALLER_HEADERS.advice, rule.advice);
    response.writeHead(rule.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }

  private endMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    this.options.counters.add('malformed_requests', error.code ?? 'unknown');
    refuseMalformed(error, socket, `${CALLER_HEADERS.reason}: malformed\r\n`);
  }
}
