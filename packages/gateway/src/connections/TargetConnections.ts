/** Sends requests to targets over reused connections, one request at a time on each. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { PassThrough } from 'node:stream';
import type { Clock, Counters } from '@cactusrun/core';
import type { IdleConnection } from './IdleConnections.js';
import IdleConnections from './IdleConnections.js';
import type IdleReuse from './IdleReuse.js';
import { RECENT_USE_MILLISECONDS } from './IdleReuse.js';
import {
  belongsToAnotherRequest,
  readIdleTime,
  readRefusal,
  readTargetAnswer,
} from './readTargetAnswer.js';
import type { AttemptResult, OutgoingRequest, TargetFieldNames } from './TargetAttempt.js';
import type { TargetEntry } from '../state/TargetEntry.js';

/** Connection timeout: a few round trips, less than the retransmission of a lost packet takes. */
const CONNECT_TIMEOUT_MILLISECONDS = 150;
/** A request that must run once is sent on a connection used this recently, or on a new one. */
const RUN_ONCE_IDLE_MILLISECONDS = 6_000;
/** Answers up to this size are buffered whole before the caller gets any of them. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576;
/**
 * A break within this time is a drop: a write on a dropped connection is reset after a round trip. A
 * later break means that the target had begun the request.
 */
const DROP_DETECTION_MILLISECONDS = 100;

export default class TargetConnections {
  private readonly idle: IdleConnections;

  constructor(
    private readonly names: TargetFieldNames,
    private readonly idleReuse: IdleReuse,
    private readonly clock: Clock,
    private readonly counters: Counters,
  ) {
    this.idle = new IdleConnections(clock);
  }

  /** Sends a request once, without retries. The returned promise never rejects. */
  public async send(
    target: TargetEntry,
    request: OutgoingRequest,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    if (signal.aborted) return { kind: 'cancelled' };
    const reused = this.acquireIdle(target.id, request);
    if (reused !== undefined) {
      const idleMilliseconds = this.clock.now() - reused.idleSince;
      return this.exchange(target, request, reused.socket, idleMilliseconds, signal);
    }
    const socket = await this.open(target, signal);
    if ('kind' in socket) return socket;
    if (signal.aborted) {
      socket.destroy();
      return { kind: 'cancelled' };
    }
    return this.exchange(target, request, socket, 0, signal);
  }

  /** Closes the idle connections to a target that was removed or timed out. */
  public forget(target: string): void {
    this.idle.forget(target);
  }

  public close(): void {
    this.idle.close();
  }

  private acquireIdle(target: string, request: OutgoingRequest): IdleConnection | undefined {
    if (request.needsNewConnection) return undefined;
    const maximumIdle = this.idleReuse.maximumIdleMilliseconds(target);
    const mustRunOnce = request.kind === 'once';
    return this.idle.acquire(
      target,
      mustRunOnce ? Math.min(maximumIdle, RUN_ONCE_IDLE_MILLISECONDS) : maximumIdle,
    );
  }

  private open(
    target: TargetEntry,
    signal: AbortSignal,
  ): Promise<Socket | Extract<AttemptResult, { kind: 'not-sent' | 'cancelled' }>> {
    const [host, port] = target.address.split(':');
    this.counters.add('target_connections', 'opened');
    return new Promise((resolve) => {
      const socket = connect({ host: host ?? '', port: Number(port), noDelay: true });
      let cancelTimer = () => {};
      const end = (result: Extract<AttemptResult, { kind: 'not-sent' | 'cancelled' }>) => {
        cancelTimer();
        socket.destroy();
        resolve(result);
      };
      const fail = (detail: string, isRefused: boolean) =>
        end({ kind: 'not-sent', detail, isRefused });
      const onAbort = () => end({ kind: 'cancelled' });
      cancelTimer = this.clock.after(CONNECT_TIMEOUT_MILLISECONDS, () =>
        fail('connection timed out', false),
      );
      signal.addEventListener('abort', onAbort, { once: true });
      socket.on('error', (error: NodeJS.ErrnoException) =>
        fail(error.message, error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET'),
      );
      socket.once('connect', () => {
        cancelTimer();
        signal.removeEventListener('abort', onAbort);
        socket.removeAllListeners('error');
        socket.on('error', () => socket.destroy());
        resolve(socket);
      });
    });
  }

  private exchange(
    target: TargetEntry,
    request: OutgoingRequest,
    socket: Socket,
    idleMilliseconds: number,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    return new Promise((resolve) => {
      let isSettled = false;
      let cleanUp = () => {};
      const settle = (result: AttemptResult) => {
        if (isSettled) return;
        isSettled = true;
        cleanUp();
        resolve(result);
      };
      const client = this.writeRequest(target, request, socket);
      const abandon = (result: AttemptResult) => {
        if (isSettled) return;
        settle(result);
        client.destroy();
        socket.destroy();
      };
      const cancelTimer = this.clock.after(request.deadline - this.clock.now(), () =>
        abandon({ kind: 'timeout' }),
      );
      const onAbort = () => abandon({ kind: 'cancelled' });
      signal.addEventListener('abort', onAbort, { once: true });
      cleanUp = () => {
        cancelTimer();
        signal.removeEventListener('abort', onAbort);
      };
      const startedAt = this.clock.now();
      let hasResponse = false;
      const failExchange = (detail: string) => {
        const isDrop =
          !hasResponse &&
          idleMilliseconds > RECENT_USE_MILLISECONDS &&
          this.clock.now() - startedAt < DROP_DETECTION_MILLISECONDS;
        abandon({ kind: isDrop ? 'dropped' : 'broken', detail });
      };
      client.on('error', (error) => failExchange(error.message));
      client.on('close', () => failExchange('connection closed'));
      client.on('response', (response) => {
        hasResponse = true;
        this.readAnswer(response, request, settle, failExchange);
        socket.once('free', () => this.idle.release(target.id, socket, readIdleTime(response)));
      });
    });
  }

  private writeRequest(
    target: TargetEntry,
    request: OutgoingRequest,
    socket: Socket,
  ): ClientRequest {
    const remaining = Math.max(1, Math.floor(request.deadline - this.clock.now()));
    const hasBody = request.body.length > 0 || !['GET', 'HEAD'].includes(request.method);
    const fields = [
      ...request.fields,
      [this.names.attemptId, request.id] as const,
      [this.names.deadline, String(remaining)] as const,
      [this.names.expectedTarget, target.id] as const,
      ['connection', 'keep-alive'] as const,
      ...(hasBody ? [['content-length', String(request.body.length)] as const] : []),
    ];
    const client = httpRequest({
      method: request.method,
      path: request.path,
      headers: fields.map(([name, value]) => [name, value]) as never,
      setHost: false,
      createConnection: () => socket,
    });
    // Without an agent, Node assumes that the connection closes after its first answer.
    client.shouldKeepAlive = true;
    client.end(hasBody ? request.body : undefined);
    return client;
  }

  private readAnswer(
    response: IncomingMessage,
    request: OutgoingRequest,
    settle: (result: AttemptResult) => void,
    failExchange: (detail: string) => void,
  ): void {
    const refusal = readRefusal(response, this.names);
    if (refusal === undefined && belongsToAnotherRequest(response, this.names, request.id)) {
      this.counters.add('target_answers', 'of-another-request');
      failExchange('answer belongs to another request');
      return;
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (bodyRest?: PassThrough) => {
      if (refusal !== undefined) {
        settle(refusal);
        return;
      }
      const answer = readTargetAnswer(response, this.names, Buffer.concat(chunks), bodyRest);
      settle({ kind: 'answered', answer });
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size <= MAXIMUM_BUFFERED_BYTES) return;
      response.removeListener('data', onData);
      const bodyRest = new PassThrough();
      response.on('error', (error) => bodyRest.destroy(error));
      response.pipe(bodyRest);
      finish(bodyRest);
    };
    response.on('data', onData);
    response.on('error', (error) => failExchange(error.message));
    response.on('end', () => (response.complete ? finish() : failExchange('incomplete answer')));
  }
}
