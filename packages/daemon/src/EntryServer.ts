/** HTTP server for callers: parses their requests and responds with the answer or a refusal. */
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

/** Applies to the request's header section and to the first part of its body. */
const READ_TIMEOUT_MILLISECONDS = 10_000;
const KEEP_ALIVE_MILLISECONDS = 5_000;
/** Time to flush the last responses before connections are closed. */
const CLOSE_GRACE_MILLISECONDS = 1_000;
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
  /** Whether an earlier request with the ticket may have run. */
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
        headersTimeout: READ_TIMEOUT_MILLISECONDS,
        requestTimeout: 0,
        keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
        noDelay: true,
      },
      (request, response) => {
        this.serve(request, response).catch(() => response.destroy());
      },
    );
    this.server.on('clientError', (error, socket) => this.rejectMalformed(error, socket as Socket));
  }

  /**
   * Starts serving. The returned function stops the server after the requests in flight.
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

  /** Number of callers' requests without a complete response. */
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
    await Promise.race([closed, this.options.clock.sleep(CLOSE_GRACE_MILLISECONDS)]);
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
    // Aborts only if the caller disconnected before the response was complete: aborting is costly.
    response.on('close', () => {
      if (!response.writableFinished) controller.abort();
    });
    const answer = await this.answer(request, controller.signal);
    this.respond(response, answer);
  }

  private async answer(request: IncomingMessage, signal: AbortSignal): Promise<CallerAnswer> {
    const { bodyBytes, clock, handle } = this.options;
    const head = await readBodyHead(request, bodyBytes, READ_TIMEOUT_MILLISECONDS, clock);
    if (head.kind !== 'read') return this.refuseUnread(request, BODY_REFUSALS[head.kind]);
    return handle(this.toCallerRequest(request, head, signal));
  }

  /** An unread request is not reported as not run when an earlier one with its ticket may have. */
  private refuseUnread(request: IncomingMessage, reason: OutcomeReason): CallerAnswer {
    const ticket = request.headers[CALLER_HEADERS.ticket];
    const mayHaveRunBefore = typeof ticket === 'string' && this.options.mayHaveRun(ticket);
    return refused(mayHaveRunBefore ? 'request-incomplete' : reason);
  }

  private toCallerRequest(
    request: IncomingMessage,
    head: Extract<BodyHead, { kind: 'read' }>,
    signal: AbortSignal,
  ): CallerRequest {
    const field = (name: string) => request.headers[name] as string | undefined;
    const timeout = Number(field(CALLER_HEADERS.deadline));
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
      timeoutMilliseconds: Number.isFinite(timeout) && timeout > 0 ? timeout : undefined,
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
    if (answer.kind === 'refused') this.sendRefusal(response, answer.reason, answer.detail);
    else this.sendAnswer(response, answer);
  }

  private sendAnswer(
    response: ServerResponse,
    answer: Extract<CallerAnswer, { kind: 'answered' }>,
  ) {
    const { counters } = this.options;
    const { body } = answer;
    response.setHeader(CALLER_HEADERS.outcome, 'answered');
    response.writeHead(answer.status, joinHeaders(forwardedHeaders(answer.headers)));
    body.on('error', () => {
      counters.add('outcomes', 'answer-broke-off');
      cut(response);
    });
    response.on('close', () => {
      if (!response.writableFinished) body.destroy();
    });
    response.on('finish', () => counters.add('outcomes', 'answered'));
    body.pipe(response);
  }

  private sendRefusal(response: ServerResponse, reason: OutcomeReason, detail: string): void {
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

  private rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    this.options.counters.add('malformed_requests', error.code ?? 'unknown');
    refuseMalformed(error, socket, `${CALLER_HEADERS.reason}: malformed\r\n`);
  }
}

/**
 * Ends the connection in place of the rest of an answer. It is reset: to HTTP/1.0 an answer without a
 * length looks whole when its connection ends in the ordinary way.
 */
function cut(response: ServerResponse): void {
  response.socket?.resetAndDestroy();
  response.destroy();
}
