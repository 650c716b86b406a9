/** HTTP server for callers: reads requests, writes outcomes and drains before it stops. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, Counters, Random } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';
import { endToEndHeaders, listHeaders, refuseMalformed } from '@cactusrun/requests';
import type { CallerExchange, CallerOutcome } from './CallerExchange.js';
import type { CallerLimits } from '../state/GatewayConfiguration.js';
import type { RefusalReason } from './Refusal.js';
import { REFUSAL_RULES } from './Refusal.js';
import type { TargetAnswer } from '../connections/TargetAttempt.js';

/** Limits that apply until there is a configuration. */
const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 65_536,
  bodyBytes: 67_108_864,
  headerMilliseconds: 10_000,
  idleMilliseconds: 15_000,
};
/** Longest wait for the next chunk of a body. */
const BODY_INACTIVITY_MILLISECONDS = 10_000;
/** Relative jitter of the retry-after time around its mean. */
const RETRY_AFTER_JITTER = 0.5;
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
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly limits: () => CallerLimits | undefined;
  readonly handle: (exchange: CallerExchange) => Promise<CallerOutcome>;
}

type BodyResult =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'cut' };

export default class CallerServer {
  private readonly server: Server;

  private inFlight = 0;

  private isDraining = false;

  private onIdle: (() => void) | undefined;

  constructor(private readonly options: CallerServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: DEFAULT_LIMITS.headerBytes,
        headersTimeout: DEFAULT_LIMITS.headerMilliseconds,
        requestTimeout: 0,
        keepAliveTimeout: DEFAULT_LIMITS.idleMilliseconds,
        connectionsCheckingInterval: 1_000,
        noDelay: true,
      },
      (request, response) => {
        this.serve(request, response).catch(() => response.destroy());
      },
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

  /** From now on every answer closes its connection. */
  public beginDraining(): void {
    this.isDraining = true;
  }

  /** Stops accepting connections, closes idle ones and waits for the requests in flight. */
  public async finishDraining(): Promise<void> {
    this.server.close();
    this.server.closeIdleConnections();
    if (this.inFlight === 0) return;
    await new Promise<void>((resolve) => {
      this.onIdle = resolve;
    });
  }

  /** Closes every connection, also those with a request in flight. */
  public closeNow(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  public get requestsInFlight(): number {
    return this.inFlight;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock } = this.options;
    const receivedAt = clock.now();
    const controller = new AbortController();
    this.inFlight += 1;
    response.on('close', () => {
      this.inFlight -= 1;
      if (!response.writableFinished) controller.abort();
      if (this.inFlight === 0) this.onIdle?.();
    });
    const limits = this.options.limits() ?? DEFAULT_LIMITS;
    if (headerSize(request) > limits.headerBytes) {
      this.writeRefusal(response, 'headers-too-large');
      return;
    }
    const body = await readBody(request, limits.bodyBytes, clock);
    if (body.kind === 'cut') {
      this.options.counters.add('callers', 'body-cut');
      response.destroy();
      return;
    }
    if (body.kind === 'too-large') {
      this.writeRefusal(response, 'body-too-large');
      return;
    }
    const exchange = this.createExchange(request, body.body, receivedAt, controller.signal);
    this.writeOutcome(response, await this.options.handle(exchange));
  }

  private createExchange(
    request: IncomingMessage,
    body: Buffer,
    receivedAt: number,
    signal: AbortSignal,
  ): CallerExchange {
    const { names } = this.options;
    const isReserved = (name: string) => name === 'content-length' || names.reserved.has(name);
    const deadline = Number(request.headers[names.deadline.toLowerCase()]);
    return {
      id: String(request.headers[names.attemptId.toLowerCase()] ?? ''),
      host: request.headers.host ?? '',
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      fields: endToEndHeaders(listHeaders(request.rawHeaders), isReserved),
      body,
      deadlineMilliseconds: Number.isFinite(deadline) && deadline > 0 ? deadline : undefined,
      receivedAt,
      signal,
    };
  }

  private writeOutcome(response: ServerResponse, outcome: CallerOutcome): void {
    if (outcome.kind === 'cancelled' || response.destroyed) {
      this.options.counters.add('callers', 'gone');
      response.destroy();
      return;
    }
    if (outcome.kind === 'refused') this.writeRefusal(response, outcome.reason);
    else this.forwardAnswer(response, outcome.answer);
  }

  private forwardAnswer(response: ServerResponse, answer: TargetAnswer): void {
    const { bodyStart, bodyRest } = answer;
    const hasKnownLength = bodyRest === undefined && answer.isFramed;
    // A body that the target ended by closing its connection may be truncated. The caller's
    // connection is closed too, so that the caller can see this.
    if (!answer.isFramed) response.useChunkedEncodingByDefault = false;
    response.writeHead(answer.status, [
      ...answer.fields.flat(),
      ...(hasKnownLength ? ['content-length', String(bodyStart.length)] : []),
      ...(answer.isFramed ? this.connectionFields(response) : ['connection', 'close']),
    ]);
    if (bodyRest === undefined) {
      response.end(bodyStart);
      return;
    }
    response.write(bodyStart);
    bodyRest.on('error', () => {
      this.options.counters.add('callers', 'answer-cut');
      response.destroy();
    });
    bodyRest.pipe(response);
  }

  private writeRefusal(response: ServerResponse, reason: RefusalReason): void {
    const rule = REFUSAL_RULES[reason];
    this.options.counters.add('refusals', reason);
    const jitter = 1 + RETRY_AFTER_JITTER * (2 * this.options.random.unit() - 1);
    const seconds = (rule.retryAfterMilliseconds * jitter) / 1_000;
    const body = `${JSON.stringify({ reason, meaning: rule.meaning, notRun: rule.isNotRun })}\n`;
    response.writeHead(rule.status, [
      'content-type',
      'application/json',
      'content-length',
      String(Buffer.byteLength(body)),
      ...(seconds > 0 ? ['retry-after', seconds.toFixed(2)] : []),
      ...this.connectionFields(response),
    ]);
    response.end(body);
  }

  private connectionFields(response: ServerResponse): string[] {
    return this.isDraining || !response.req.complete ? ['connection', 'close'] : [];
  }

  private rejectMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    this.options.counters.add('malformed_requests', error.code ?? 'unknown');
    refuseMalformed(error, socket);
  }
}

function headerSize(request: IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, request.url?.length ?? 0);
}

function readBody(request: IncomingMessage, limit: number, clock: Clock): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let cancelTimer = () => {};
    const settle = (result: BodyResult) => {
      cancelTimer();
      resolve(result);
    };
    const restartTimer = () => {
      cancelTimer();
      cancelTimer = clock.after(BODY_INACTIVITY_MILLISECONDS, () => settle({ kind: 'cut' }));
    };
    request.on('data', (chunk: Buffer) => {
      restartTimer();
      size += chunk.length;
      if (size > limit) settle({ kind: 'too-large' });
      else chunks.push(chunk);
    });
    request.on('end', () => settle({ kind: 'whole', body: Buffer.concat(chunks) }));
    request.on('error', () => settle({ kind: 'cut' }));
    request.on('close', () => settle({ kind: 'cut' }));
    restartTimer();
  });
}
