/** HTTP server for callers: parses their requests and responds with the answer or a refusal. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { Server as ConnectionServer } from 'node:net';
import type { Clock, Counters, OutcomeReason, Stop } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';
import { listHeaders, refuseMalformed } from '@cactusrun/requests';
import type { CallerAnswer, CallerRequest } from './CallerRequest.js';
import { CALLER_HEADERS, refused } from './CallerRequest.js';
import type CallerDirectory from './CallerDirectory.js';
import { DIRECTORY_PATH } from './CallerDirectory.js';
import type { BodyHead } from './readBodyHead.js';
import { readBodyHead } from './readBodyHead.js';
import type StopGate from './StopGate.js';
import { cut, writeAnswer, writeRefusal } from './writeCallerAnswer.js';

/** Applies to the request's header section and to the first part of its body. */
const READ_TIMEOUT_MILLISECONDS = 10_000;
const KEEP_ALIVE_MILLISECONDS = 5_000;
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
  readonly gate: StopGate;
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

/** A request whose response is not complete. */
interface PendingResponse {
  readonly startedAt: number;
  /** Aborted when the caller disconnects. */
  readonly controller: AbortController;
}

export default class EntryServer {
  private readonly server: Server;

  /** In the order of their arrival. */
  private readonly pending = new Map<ServerResponse, PendingResponse>();

  /** Connections that end with an answer that was begun. */
  private readonly closing = new WeakSet<Socket>();

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
    this.server.on('connection', (socket) => socket.once('close', () => this.endAll(socket)));
    this.server.on('clientError', (error, socket) => this.rejectMalformed(error, socket as Socket));
  }

  /**
   * Starts serving. The returned function ends it without waiting for requests in flight.
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
    return () => this.closeConnections();
  }

  /** Number of callers' requests without a complete response. */
  public get requestsInFlight(): number {
    return this.pending.size;
  }

  /** Accepts no further connections. Open ones stay, so that requests on them can be refused. */
  public stopListening(): void {
    // The HTTP server's own close() also closes idle connections.
    ConnectionServer.prototype.close.call(this.server);
  }

  /** Tells the callers that wait for an answer that their request may have run. */
  public giveUp(): void {
    [...this.pending.keys()]
      .filter(({ headersSent }) => !headersSent)
      .forEach((response) => this.respond(response, refused('stopped')));
  }

  /** Closes all connections; one with an answer that is not whole is reset, so that this shows. */
  public async closeConnections(): Promise<void> {
    [...this.pending.keys()].filter(({ headersSent }) => headersSent).forEach(cut);
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
    this.server.closeAllConnections();
    await closed;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { directory, clock } = this.options;
    if ((request.url ?? '').startsWith(DIRECTORY_PATH)) {
      directory.serve(request, response);
      return;
    }
    // Its answer would be cut by the end of the connection.
    if (this.closing.has(request.socket)) return;
    const controller = new AbortController();
    this.pending.set(response, { startedAt: clock.now(), controller });
    response.on('close', () => this.end(response));
    const answer = await this.answer(request, controller.signal);
    this.respond(response, answer);
  }

  /** Ends the requests of a connection that has closed: a queued response does not report it. */
  private endAll(socket: Socket): void {
    [...this.pending.keys()]
      .filter(({ req }) => req.socket === socket)
      .forEach((response) => this.end(response));
  }

  private end(response: ServerResponse): void {
    const ended = this.pending.get(response);
    if (ended === undefined) return;
    this.pending.delete(response);
    this.options.counters.time('request', this.options.clock.now() - ended.startedAt);
    // Aborts only if the caller disconnected before the response was complete: aborting is costly.
    if (!response.writableFinished) ended.controller.abort();
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
    const { counters, issueTicket, gate } = this.options;
    const isGivenUp = response.headersSent;
    if (response.destroyed || isGivenUp || !this.pending.has(response)) {
      if (answer.kind === 'answered') answer.body.destroy();
      counters.add('outcomes', isGivenUp ? 'given-up' : 'caller-gone');
      return;
    }
    if (this.closesWith(response)) {
      response.setHeader('connection', 'close');
      this.closing.add(response.req.socket);
    }
    // A ticket of a host that leaves could not be used any more.
    if (!gate.isStopping) response.setHeader(CALLER_HEADERS.ticket, issueTicket());
    if (answer.kind === 'answered') writeAnswer(response, answer, counters);
    else writeRefusal(response, this.reasonOf(answer), answer.detail, counters);
  }

  /** Without a ticket in the answer, a caller that needs one has to ask another host. */
  private reasonOf({ reason }: Extract<CallerAnswer, { kind: 'refused' }>): OutcomeReason {
    return reason === 'ticket-required' && this.options.gate.isStopping ? 'stopping' : reason;
  }

  /** Whether the connection ends with the answer; not while another one is owed on it. */
  private closesWith(response: ServerResponse): boolean {
    if (!response.req.complete) return true;
    if (!this.options.gate.isStopping) return false;
    const responses = [...this.pending.keys()];
    const later = responses.slice(responses.indexOf(response) + 1);
    return !later.some(({ req }) => req.socket === response.req.socket);
  }

  private rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    this.options.counters.add('malformed_requests', error.code ?? 'unknown');
    refuseMalformed(error, socket, `${CALLER_HEADERS.reason}: malformed\r\n`);
  }
}
