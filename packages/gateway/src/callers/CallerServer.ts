/** HTTP server for callers: reads requests, writes outcomes and drains before it stops. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { Server as ConnectionServer } from 'node:net';
import type { Clock, Counters, Logger, Random } from '@cactusrun/core';
import { describeError } from '@cactusrun/core';
import { endToEndHeaders, listHeaders, refuseMalformed } from '@cactusrun/requests';
import type BodyRooms from '../memory/BodyRooms.js';
import type { CallerLimits } from '../state/GatewayConfiguration.js';
import listen from '../listen.js';
import CallerConnections from './CallerConnections.js';
import type { CallerExchange, CallerOutcome } from './CallerExchange.js';
import type HeldAnswers from './HeldAnswers.js';
import type { Incoming } from './OutcomeWriter.js';
import OutcomeWriter from './OutcomeWriter.js';
import type PendingRequest from './PendingRequest.js';
import type { Turn } from './PendingRequest.js';
import readRequestBody from './readRequestBody.js';
import { decodeStatement, isRelayField } from '../relay/RelayField.js';

/** Limits that apply until there is a configuration. */
const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 65_536,
  bodyBytes: 67_108_864,
  headerMilliseconds: 10_000,
  idleMilliseconds: 15_000,
};

/** Names of header fields that callers set and the gateway reads. */
export interface CallerFieldNames {
  readonly attemptId: string;
  readonly deadline: string;
  /** Fields that the gateway sets towards targets; those of callers are removed. */
  readonly reserved: ReadonlySet<string>;
}

export interface CallerServerOptions {
  /** `ip:port` to listen on. */
  readonly address: string;
  readonly names: CallerFieldNames;
  /** Whether the callers are peers that relay requests of their own callers. */
  readonly isForPeers: boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
  readonly limits: () => CallerLimits | undefined;
  /** Whether the request is idempotent, so that it may run beside others of its connection. */
  readonly canOverlap: (exchange: CallerExchange) => boolean;
  readonly handle: (exchange: CallerExchange) => Promise<CallerOutcome>;
  /** Bounds what is held for callers that read slowly; absent, nothing does. */
  readonly heldAnswers?: HeldAnswers;
  /** Bounds the bodies of requests in memory; absent, nothing does. */
  readonly bodyRooms?: BodyRooms;
}

export default class CallerServer {
  private readonly server: Server;

  private readonly writer: OutcomeWriter;

  private readonly connections: CallerConnections;

  constructor(private readonly options: CallerServerOptions) {
    this.writer = new OutcomeWriter(options);
    this.connections = new CallerConnections(options.clock);
    this.server = createServer(
      {
        maxHeaderSize: DEFAULT_LIMITS.headerBytes,
        headersTimeout: DEFAULT_LIMITS.headerMilliseconds,
        requestTimeout: 0,
        keepAliveTimeout: DEFAULT_LIMITS.idleMilliseconds,
        connectionsCheckingInterval: 1_000,
        noDelay: true,
      },
      (request, response) => this.receive(request, response),
    );
    this.server.on('clientError', (error, socket) => this.rejectMalformed(error, socket as Socket));
  }

  /** @throws CactusrunError when the address cannot be bound */
  public async start(): Promise<void> {
    const { address, counters } = this.options;
    await listen(this.server, address, counters);
  }

  /** Applies changed limits to connections from now on. */
  public applyLimits(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleMilliseconds;
    this.server.headersTimeout = limits.headerMilliseconds;
  }

  /**
   * From now on each connection closes with the answer to the last request that was started.
   *
   * @param servingMilliseconds - time from now after which nothing new is passed on, even if the call
   *   of `finishDraining` is late
   */
  public beginDraining(servingMilliseconds: number): void {
    this.writer.beginClosing();
    this.connections.refuseAfter(servingMilliseconds);
  }

  /**
   * Stops accepting connections and waits for the requests in flight. What has been read and not been
   * passed on is refused, also what arrives meanwhile on open connections.
   */
  public async finishDraining(): Promise<void> {
    this.connections.refuseUnsent();
    // The HTTP server's own close() also destroys connections whose answer is ended but not yet
    // handed to the network. Idle connections are left to closeNow().
    ConnectionServer.prototype.close.call(this.server);
    await this.connections.waitUntilIdle();
  }

  /** Gives up the requests at targets and peers; their callers are told that they may have run. */
  public giveUp(): void {
    this.connections.giveUp();
  }

  /** Closes every connection; one with an answer that is not whole is reset, so that this shows. */
  public closeNow(): void {
    this.connections.resetHalfAnswered();
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Requests whose answer has not been written, on connections that are still open. */
  public get requestsInFlight(): number {
    return this.connections.requestsInFlight;
  }

  /** The requests that `requestsInFlight` counts. */
  public get unanswered(): readonly PendingRequest[] {
    return this.connections.unanswered;
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connections.of(request.socket);
    const pending = connection.add({
      id: this.attemptIdOf(request),
      receivedAt: this.options.clock.now(),
      isComplete: () => request.complete,
    });
    const incoming = { connection, request: pending, response };
    response.on('finish', () => connection.finish(incoming.request));
    this.serve(request, incoming).catch((error: unknown) => this.endFailed(incoming, error));
  }

  /** Ends a request whose handling failed; its caller is told that it may have run. */
  private endFailed(incoming: Incoming, error: unknown): void {
    const { connection, request, response } = incoming;
    const { counters, logger } = this.options;
    counters.add('callers', 'handling-failed');
    logger.warn('request-handling-failed', {
      request: request.head.id,
      cause: describeError(error),
    });
    if (response.headersSent) connection.cut(request);
    else this.writer.writeRefusal(incoming, { reason: 'internal-error' });
  }

  private async serve(request: IncomingMessage, incoming: Incoming): Promise<void> {
    const { clock, counters } = this.options;
    const { connection } = incoming;
    const limits = this.options.limits() ?? DEFAULT_LIMITS;
    if (headerSize(request) > limits.headerBytes) {
      this.writer.writeRefusal(incoming, { reason: 'headers-too-large' });
      return;
    }
    const body = await readRequestBody(request, {
      limitBytes: limits.bodyBytes,
      deadlineMilliseconds: this.deadlineOf(request),
      signal: incoming.request.signal,
      rooms: this.options.bodyRooms,
      clock,
    });
    if (body.kind === 'cut') {
      counters.add('callers', 'body-cut');
      connection.cut(incoming.request);
      return;
    }
    if (body.kind === 'refused') {
      this.writer.writeRefusal(incoming, body);
      return;
    }
    const exchange = this.createExchange(request, body.bytes, incoming);
    const turn = await this.execute(exchange, incoming).finally(body.release);
    if (turn === 'drop') counters.add('callers', 'behind-close');
    else if (turn === 'refuse') await this.writer.refuseStopping(incoming);
    else await this.writer.write(incoming, turn);
  }

  /** The outcome of a request, once it has its turn; or what is done with it instead. */
  private async execute(
    exchange: CallerExchange,
    { connection, request }: Incoming,
  ): Promise<CallerOutcome | Exclude<Turn, 'execute'>> {
    const canOverlap = this.options.canOverlap(exchange);
    const turn = await connection.awaitTurn(request, canOverlap, exchange.body.length);
    if (turn !== 'execute') return turn;
    const outcome = await this.options.handle(exchange);
    return request.isRefused ? 'refuse' : outcome;
  }

  /** Time that the caller waits for the answer, if it states one. */
  private deadlineOf({ headers }: IncomingMessage): number | undefined {
    const deadline = Number(headers[this.options.names.deadline.toLowerCase()]);
    return Number.isFinite(deadline) && deadline > 0 ? deadline : undefined;
  }

  private createExchange(
    request: IncomingMessage,
    body: Buffer,
    { request: pending }: Incoming,
  ): CallerExchange {
    const { names, isForPeers } = this.options;
    const isReserved = (name: string) =>
      name === 'content-length' || names.reserved.has(name) || isRelayField(name);
    return {
      id: pending.head.id,
      host: request.headers.host ?? '',
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      fields: endToEndHeaders(listHeaders(request.rawHeaders), isReserved),
      body,
      deadlineMilliseconds: this.deadlineOf(request),
      receivedAt: pending.head.receivedAt,
      relayed: isForPeers ? decodeStatement(request.headers) : undefined,
      signal: pending.executionSignal,
      passOn: () => this.connections.passOn(pending),
    };
  }

  private attemptIdOf({ headers }: IncomingMessage): string {
    return String(headers[this.options.names.attemptId.toLowerCase()] ?? '');
  }

  private rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    this.options.counters.add('malformed_requests', error.code ?? 'unknown');
    const connection = this.connections.find(socket);
    // An error response now would be taken for the answer to a request before the malformed bytes.
    if (connection?.owesAnswers && error.code !== 'ECONNRESET') connection.endReading();
    else refuseMalformed(error, socket);
  }
}

function headerSize(request: IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, request.url?.length ?? 0);
}
