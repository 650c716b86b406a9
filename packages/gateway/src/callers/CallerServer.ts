/** HTTP server for callers: reads requests, writes outcomes and drains before it stops. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { Server as ConnectionServer } from 'node:net';
import type { Clock, Counters, Logger, Random } from '@cactusrun/core';
import { describeError } from '@cactusrun/core';
import { endToEndHeaders, listHeaders, refuseMalformed } from '@cactusrun/requests';
import type { TargetAnswer } from '../connections/TargetAttempt.js';
import type BodyRooms from '../memory/BodyRooms.js';
import type { CallerLimits } from '../state/GatewayConfiguration.js';
import listen from '../listen.js';
import AnswerWriter from './AnswerWriter.js';
import CallerConnection from './CallerConnection.js';
import type { CallerExchange, CallerOutcome, Refused } from './CallerExchange.js';
import type HeldAnswers from './HeldAnswers.js';
import type PendingRequest from './PendingRequest.js';
import type { Turn } from './PendingRequest.js';
import readRequestBody from './readRequestBody.js';
import { decodeStatement, encodeRefusal, isRelayField } from '../relay/RelayField.js';

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

/** Why a connection ends before the answer to its request does. */
type CutReason = 'answer-broke-off' | 'read-too-slowly';

/** One request on its way: the connection that it came on, and the response to write. */
interface Incoming {
  readonly connection: CallerConnection;
  readonly request: PendingRequest;
  readonly response: ServerResponse;
}

export default class CallerServer {
  private readonly server: Server;

  private readonly writer: AnswerWriter;

  private readonly connections = new Map<Socket, CallerConnection>();

  private isDraining = false;

  /** Monotonic time from which on nothing new is passed on. */
  private refusesFrom = Number.POSITIVE_INFINITY;

  /** Whether what has not been passed on is refused. */
  private isRefusing = false;

  private onIdle: (() => void) | undefined;

  constructor(private readonly options: CallerServerOptions) {
    this.writer = new AnswerWriter(options.random, options.clock);
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
    this.isDraining = true;
    this.refusesFrom = this.options.clock.now() + servingMilliseconds;
  }

  /**
   * Stops accepting connections and waits for the requests in flight. What has been read and not been
   * passed on is refused, also what arrives meanwhile on open connections.
   */
  public async finishDraining(): Promise<void> {
    this.refuseUnsent();
    // The HTTP server's own close() also destroys connections whose answer is ended but not yet
    // handed to the network. Idle connections are left to closeNow().
    ConnectionServer.prototype.close.call(this.server);
    if (this.requestsInFlight === 0) return;
    await new Promise<void>((resolve) => {
      this.onIdle = resolve;
    });
  }

  /** Gives up the requests at targets and peers; their callers are told that they may have run. */
  public giveUp(): void {
    this.connections.forEach((connection) => connection.giveUp());
  }

  /** Closes every connection; one with an answer that is not whole is reset, so that this shows. */
  public closeNow(): void {
    this.connections.forEach((connection) => connection.resetHalfAnswered());
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Requests whose answer has not been written, on connections that are still open. */
  public get requestsInFlight(): number {
    return [...this.connections.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** The requests that `requestsInFlight` counts. */
  public get unanswered(): readonly PendingRequest[] {
    return [...this.connections.values()].flatMap(({ unanswered }) => unanswered);
  }

  private refuseUnsent(): void {
    this.isRefusing = true;
    this.connections.forEach((connection) => connection.refuseUnsent());
  }

  private passOn(request: PendingRequest): boolean {
    if (!this.isRefusing && this.options.clock.now() >= this.refusesFrom) this.refuseUnsent();
    return request.passOn();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connectionOf(request.socket);
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
    else this.writeRefusal(incoming, { reason: 'internal-error' });
  }

  private connectionOf(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    const connection = new CallerConnection(socket, () => this.checkIdle());
    if (this.isRefusing) connection.refuseUnsent();
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      this.checkIdle();
    });
    return connection;
  }

  private checkIdle(): void {
    if (this.onIdle !== undefined && this.requestsInFlight === 0) this.onIdle();
  }

  private async serve(request: IncomingMessage, incoming: Incoming): Promise<void> {
    const { clock, counters } = this.options;
    const { connection } = incoming;
    const limits = this.options.limits() ?? DEFAULT_LIMITS;
    if (headerSize(request) > limits.headerBytes) {
      this.writeRefusal(incoming, { reason: 'headers-too-large' });
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
      this.writeRefusal(incoming, body);
      return;
    }
    const exchange = this.createExchange(request, body.bytes, incoming);
    const turn = await this.execute(exchange, incoming).finally(body.release);
    if (turn === 'drop') counters.add('callers', 'behind-close');
    else if (turn === 'refuse') await this.refuseStopping(incoming);
    else await this.writeOutcome(incoming, turn);
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

  /** Refuses a request in its turn, so that the refusals of those behind it still follow. */
  private async refuseStopping(incoming: Incoming): Promise<void> {
    await incoming.connection.awaitLead(incoming.request);
    const reason = incoming.request.mayHaveRun ? 'stopped' : 'stopping';
    this.writeRefusal(incoming, { reason });
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
      passOn: () => this.passOn(pending),
    };
  }

  private async writeOutcome(incoming: Incoming, outcome: CallerOutcome): Promise<void> {
    if (outcome.kind === 'refused') this.writeRefusal(incoming, outcome);
    else if (outcome.kind === 'answered') await this.writeAnswer(incoming, outcome.answer);
    else this.options.counters.add('callers', 'gone');
  }

  /** A body of unknown length is only begun when nothing is ahead, so that a cut shows at once. */
  private async writeAnswer(incoming: Incoming, answer: TargetAnswer): Promise<void> {
    const { connection, request, response } = incoming;
    const { bodyRest } = answer;
    if (!request.signal.aborted) this.holdAnswer(incoming, answer);
    if (bodyRest !== undefined) {
      bodyRest.on('error', () => this.options.counters.add('callers', 'answer-cut'));
      await connection.awaitLead(request);
    }
    if (request.signal.aborted) {
      this.options.counters.add('callers', 'gone');
      bodyRest?.destroy();
      return;
    }
    if (bodyRest?.errored) {
      this.writeRefusal(incoming, { reason: 'connection-broke' });
      return;
    }
    const endsBody = AnswerWriter.endsWithConnection(response, answer);
    if (endsBody) connection.closeBehind(request);
    const closes = this.closesWith(incoming) || endsBody;
    AnswerWriter.writeAnswer(response, answer, closes, (error) => {
      this.recordCut(incoming, 'answer-broke-off', error);
      connection.cut(request);
    });
  }

  /** Counts an answer until its caller has taken it; the connection is cut if it takes too long. */
  private holdAnswer(incoming: Incoming, { bodyStart }: TargetAnswer): void {
    const { heldAnswers } = this.options;
    const { request, response } = incoming;
    if (heldAnswers === undefined) return;
    const cut = () => {
      this.recordCut(incoming, 'read-too-slowly');
      response.req.socket.resetAndDestroy();
    };
    const release = heldAnswers.hold({ bytes: bodyStart.length, cut });
    response.once('close', release);
    // A response behind others on its connection does not report that the connection has closed.
    if (response.socket === null) request.signal.addEventListener('abort', release, { once: true });
  }

  private writeRefusal(incoming: Incoming, refused: Refused): void {
    if (incoming.request.signal.aborted) return;
    const { counters, isForPeers } = this.options;
    counters.add('refusals', refused.reason);
    const extraFields = isForPeers ? this.peerFields(incoming, refused) : [];
    this.writer.writeRefusal(incoming.response, refused, this.closesWith(incoming), extraFields);
  }

  /** What tells a peer that this daemon refuses the request, rather than a target. */
  private peerFields({ response }: Incoming, refused: Refused): readonly string[] {
    const { attemptId } = this.options.names;
    return [...encodeRefusal(refused), attemptId, this.attemptIdOf(response.req)];
  }

  private attemptIdOf({ headers }: IncomingMessage): string {
    return String(headers[this.options.names.attemptId.toLowerCase()] ?? '');
  }

  /** Logs that a caller gets no complete answer although its connection has not ended. */
  private recordCut({ request }: Incoming, reason: CutReason, error?: unknown): void {
    const { counters, logger } = this.options;
    counters.add('callers', reason);
    if (request.signal.aborted) return;
    const cause = error === undefined ? undefined : describeError(error);
    logger.warn('request-cut', { request: request.head.id, reason, cause });
  }

  private closesWith({ connection, request, response }: Incoming): boolean {
    return connection.closesWith(request, this.isDraining || !response.req.complete);
  }

  private rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    this.options.counters.add('malformed_requests', error.code ?? 'unknown');
    const connection = this.connections.get(socket);
    // An error response now would be taken for the answer to a request before the malformed bytes.
    if (connection?.owesAnswers && error.code !== 'ECONNRESET') connection.endReading();
    else refuseMalformed(error, socket);
  }
}

function headerSize(request: IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, request.url?.length ?? 0);
}
