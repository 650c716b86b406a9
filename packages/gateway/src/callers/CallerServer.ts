/** HTTP server for callers: reads requests, writes outcomes and drains before it stops. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { Server as ConnectionServer } from 'node:net';
import type { Clock, Counters, Random } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';
import { endToEndHeaders, listHeaders, refuseMalformed } from '@cactusrun/requests';
import type { TargetAnswer } from '../connections/TargetAttempt.js';
import type BodyRooms from '../memory/BodyRooms.js';
import type { CallerLimits } from '../state/GatewayConfiguration.js';
import AnswerWriter from './AnswerWriter.js';
import type { ConnectionRequest } from './CallerConnection.js';
import CallerConnection from './CallerConnection.js';
import type { CallerExchange, CallerOutcome, Refused } from './CallerExchange.js';
import type HeldAnswers from './HeldAnswers.js';
import readRequestBody from './readRequestBody.js';
import { decodeStatement, encodeRefusal, isRelayField } from '../relay/RelayField.js';

/** Limits that apply until there is a configuration. */
const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 65_536,
  bodyBytes: 67_108_864,
  headerMilliseconds: 10_000,
  idleMilliseconds: 15_000,
};
const LISTEN_BACKLOG = 1_024;

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
  readonly limits: () => CallerLimits | undefined;
  /** Whether the request is idempotent, so that it may run beside others of its connection. */
  readonly canOverlap: (exchange: CallerExchange) => boolean;
  readonly handle: (exchange: CallerExchange) => Promise<CallerOutcome>;
  /** Bounds what is held for callers that read slowly; absent, nothing does. */
  readonly heldAnswers?: HeldAnswers;
  /** Bounds the bodies of requests in memory; absent, nothing does. */
  readonly bodyRooms?: BodyRooms;
}

/** One request on its way: the connection that it came on, and the response to write. */
interface Incoming {
  readonly connection: CallerConnection;
  readonly request: ConnectionRequest;
  readonly response: ServerResponse;
}

export default class CallerServer {
  private readonly server: Server;

  private readonly writer: AnswerWriter;

  private readonly connections = new Map<Socket, CallerConnection>();

  private isDraining = false;

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
    const { address } = this.options;
    const [host, port] = address.split(':');
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', (error) => {
        reject(new CactusrunError(error.message, { step: 'binding for callers', peer: address }));
      });
      this.server.listen({ host, port: Number(port), backlog: LISTEN_BACKLOG }, resolve);
    });
  }

  /** Applies changed limits to connections from now on. */
  public applyLimits(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleMilliseconds;
    this.server.headersTimeout = limits.headerMilliseconds;
  }

  /** From now on each connection closes with the answer to the last request that was started. */
  public beginDraining(): void {
    this.isDraining = true;
  }

  /** Stops accepting connections and waits for the requests in flight. */
  public async finishDraining(): Promise<void> {
    // The HTTP server's own close() also destroys connections whose answer is ended but not yet
    // handed to the network. Idle connections are left to closeNow().
    ConnectionServer.prototype.close.call(this.server);
    if (this.requestsInFlight === 0) return;
    await new Promise<void>((resolve) => {
      this.onIdle = resolve;
    });
  }

  /** Closes every connection, also those with a request in flight. */
  public closeNow(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Requests whose answer has not been written, on connections that are still open. */
  public get requestsInFlight(): number {
    return [...this.connections.values()].reduce((sum, { size }) => sum + size, 0);
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.connectionOf(request.socket);
    const incoming = { connection, request: connection.add(() => request.complete), response };
    response.on('finish', () => connection.finish(incoming.request));
    this.serve(request, incoming).catch(() => connection.cut(incoming.request));
  }

  private connectionOf(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    const connection = new CallerConnection(socket, () => this.checkIdle());
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
    const receivedAt = clock.now();
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
    const exchange = this.createExchange(request, body.bytes, receivedAt, incoming);
    const outcome = await this.execute(exchange, incoming).finally(body.release);
    if (outcome === undefined) counters.add('callers', 'behind-close');
    else await this.writeOutcome(incoming, outcome);
  }

  /** The outcome of a request, or undefined if the connection closes before its answer. */
  private async execute(
    exchange: CallerExchange,
    { connection, request }: Incoming,
  ): Promise<CallerOutcome | undefined> {
    const canOverlap = this.options.canOverlap(exchange);
    const hasTurn = await connection.awaitTurn(request, canOverlap, exchange.body.length);
    return hasTurn ? this.options.handle(exchange) : undefined;
  }

  /** Time that the caller waits for the answer, if it states one. */
  private deadlineOf({ headers }: IncomingMessage): number | undefined {
    const deadline = Number(headers[this.options.names.deadline.toLowerCase()]);
    return Number.isFinite(deadline) && deadline > 0 ? deadline : undefined;
  }

  private createExchange(
    request: IncomingMessage,
    body: Buffer,
    receivedAt: number,
    { connection, request: pending }: Incoming,
  ): CallerExchange {
    const { names, isForPeers } = this.options;
    const isReserved = (name: string) =>
      name === 'content-length' || names.reserved.has(name) || isRelayField(name);
    return {
      id: String(request.headers[names.attemptId.toLowerCase()] ?? ''),
      host: request.headers.host ?? '',
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      fields: endToEndHeaders(listHeaders(request.rawHeaders), isReserved),
      body,
      deadlineMilliseconds: this.deadlineOf(request),
      receivedAt,
      relayed: isForPeers ? decodeStatement(request.headers) : undefined,
      signal: pending.signal,
      isFollowed: () => connection.isFollowed(pending),
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
    // A body that the target ended by closing its connection may be truncated. The caller's
    // connection is closed too, so that the caller can see this.
    if (!answer.isFramed) connection.startNoMore();
    const closes = this.closesWith(incoming) || !answer.isFramed;
    AnswerWriter.writeAnswer(response, answer, closes, () => connection.cut(request));
  }

  /** Counts an answer until its caller has taken it; the connection is cut if it takes too long. */
  private holdAnswer({ request, response }: Incoming, { bodyStart }: TargetAnswer): void {
    const { heldAnswers, counters } = this.options;
    if (heldAnswers === undefined) return;
    const cut = () => {
      counters.add('callers', 'read-too-slowly');
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
    const id = response.req.headers[attemptId.toLowerCase()];
    return [...encodeRefusal(refused), attemptId, String(id ?? '')];
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
