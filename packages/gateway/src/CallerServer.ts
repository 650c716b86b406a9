/** The server that callers connect to: reads requests, writes outcomes, stops without a cut. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock, Counters, Random } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';
import { endToEndHeaders, listHeaders, refuseMalformed } from '@cactusrun/requests';
import type { CallerLimits } from './GatewayConfiguration.js';
import type { RefusalReason } from './Refusal.js';
import { REFUSAL_RULES } from './Refusal.js';
import type { CallerCall, CallerOutcome } from './CallerCall.js';
import type { TargetAnswer } from './TargetCall.js';

/** Bounds until a configuration states some. */
const FIRST_LIMITS: CallerLimits = {
  headerBytes: 65_536,
  bodyBytes: 67_108_864,
  headerMilliseconds: 10_000,
  idleMilliseconds: 15_000,
};
/** Longest wait for the next part of a body. */
const BODY_SILENCE_MILLISECONDS = 10_000;
/** Spread of the time to come back, around its mean. */
const RETRY_SPREAD = 0.5;
const LISTEN_BACKLOG = 1_024;

/** Names of the fields that callers set and the gateway reads. */
export interface CallerFieldNames {
  readonly attemptId: string;
  readonly deadline: string;
  /** Fields of the gateway towards targets, which a caller must not set. */
  readonly withheld: ReadonlySet<string>;
}

export interface CallerServerOptions {
  /** `ip:port` to listen on. */
  readonly address: string;
  readonly names: CallerFieldNames;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly limits: () => CallerLimits | undefined;
  readonly handle: (call: CallerCall) => Promise<CallerOutcome>;
}

type BodyResult =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'cut' };

export default class CallerServer {
  private readonly server: Server;

  private inFlight = 0;

  private isLeaving = false;

  private onIdle: (() => void) | undefined;

  constructor(private readonly options: CallerServerOptions) {
    this.server = createServer(
      {
        maxHeaderSize: FIRST_LIMITS.headerBytes,
        headersTimeout: FIRST_LIMITS.headerMilliseconds,
        requestTimeout: 0,
        keepAliveTimeout: FIRST_LIMITS.idleMilliseconds,
        connectionsCheckingInterval: 1_000,
        noDelay: true,
      },
      (request, response) => {
        this.serve(request, response).catch(() => response.destroy());
      },
    );
    this.server.on('clientError', (error, socket) => this.endMalformed(error, socket as Socket));
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

  /** Bounds changed: applies to connections from now on. */
  public applyLimits(limits: CallerLimits): void {
    this.server.keepAliveTimeout = limits.idleMilliseconds;
    this.server.headersTimeout = limits.headerMilliseconds;
  }

  /** From now on every answer ends its connection. */
  public beginLeaving(): void {
    this.isLeaving = true;
  }

  /** Takes no further connection, closes idle ones and waits for the requests in flight. */
  public async finish(): Promise<void> {
    this.server.close();
    this.server.closeIdleConnections();
    if (this.inFlight === 0) return;
    await new Promise<void>((resolve) => {
      this.onIdle = resolve;
    });
  }

  /** Closes every connection. */
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
    const limits = this.options.limits() ?? FIRST_LIMITS;
    if (headerSize(request) > limits.headerBytes) {
      this.refuse(response, 'headers-too-large');
      return;
    }
    const body = await readBody(request, limits.bodyBytes, clock);
    if (body.kind === 'cut') {
      this.options.counters.add('callers', 'body-cut');
      response.destroy();
      return;
    }
    if (body.kind === 'too-large') {
      this.refuse(response, 'body-too-large');
      return;
    }
    const call = this.describe(request, body.body, receivedAt, controller.signal);
    this.write(response, await this.options.handle(call));
  }

  private describe(
    request: IncomingMessage,
    body: Buffer,
    receivedAt: number,
    signal: AbortSignal,
  ): CallerCall {
    const { names } = this.options;
    const isWithheld = (name: string) => name === 'content-length' || names.withheld.has(name);
    const deadline = Number(request.headers[names.deadline.toLowerCase()]);
    return {
      id: String(request.headers[names.attemptId.toLowerCase()] ?? ''),
      host: request.headers.host ?? '',
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      fields: endToEndHeaders(listHeaders(request.rawHeaders), isWithheld),
      body,
      deadlineMilliseconds: Number.isFinite(deadline) && deadline > 0 ? deadline : undefined,
      receivedAt,
      signal,
    };
  }

  private write(response: ServerResponse, outcome: CallerOutcome): void {
    if (outcome.kind === 'cancelled' || response.destroyed) {
      this.options.counters.add('callers', 'gone');
      response.destroy();
      return;
    }
    if (outcome.kind === 'refused') this.refuse(response, outcome.reason);
    else this.passOn(response, outcome.answer);
  }

  private passOn(response: ServerResponse, answer: TargetAnswer): void {
    const { head, rest } = answer;
    const isCounted = rest === undefined && answer.isFramed;
    // What ends with its connection at the target may have been cut: it ends so here as well.
    if (!answer.isFramed) response.useChunkedEncodingByDefault = false;
    response.writeHead(answer.status, [
      ...answer.fields.flat(),
      ...(isCounted ? ['content-length', String(head.length)] : []),
      ...(answer.isFramed ? this.connectionFields(response) : ['connection', 'close']),
    ]);
    if (rest === undefined) {
      response.end(head);
      return;
    }
    response.write(head);
    rest.on('error', () => {
      this.options.counters.add('callers', 'answer-cut');
      response.destroy();
    });
    rest.pipe(response);
  }

  private refuse(response: ServerResponse, reason: RefusalReason): void {
    const rule = REFUSAL_RULES[reason];
    this.options.counters.add('refusals', reason);
    const spread = 1 + RETRY_SPREAD * (2 * this.options.random.unit() - 1);
    const seconds = (rule.retryAfterMilliseconds * spread) / 1_000;
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
    return this.isLeaving || !response.req.complete ? ['connection', 'close'] : [];
  }

  private endMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
    this.options.counters.add('malformed_requests', error.code ?? 'unknown');
    refuseMalformed(error, socket);
  }
}

function headerSize(request: IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, request.url?.length ?? 0);
}

function readBody(request: IncomingMessage, limit: number, clock: Clock): Promise<BodyResult> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let size = 0;
    let cancel = () => {};
    const settle = (result: BodyResult) => {
      cancel();
      resolve(result);
    };
    const rearm = () => {
      cancel();
      cancel = clock.after(BODY_SILENCE_MILLISECONDS, () => settle({ kind: 'cut' }));
    };
    request.on('data', (part: Buffer) => {
      rearm();
      size += part.length;
      if (size > limit) settle({ kind: 'too-large' });
      else parts.push(part);
    });
    request.on('end', () => settle({ kind: 'whole', body: Buffer.concat(parts) }));
    request.on('error', () => settle({ kind: 'cut' }));
    request.on('close', () => settle({ kind: 'cut' }));
    rearm();
  });
}
