/** Connections to targets and the exchange of one request on one of them, one request at a time. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { PassThrough } from 'node:stream';
import type { Clock, Counters } from '@cactusrun/core';
import type { IdleConnection } from './IdleConnections.js';
import IdleConnections from './IdleConnections.js';
import type IdleReuse from './IdleReuse.js';
import { HOT_MILLISECONDS } from './IdleReuse.js';
import {
  isOfAnotherRequest,
  readIdleTime,
  readRefusal,
  readTargetAnswer,
} from './readTargetAnswer.js';
import type { CallResult, OutgoingRequest, TargetFieldNames } from './TargetCall.js';
import type { TargetEntry } from './TargetEntry.js';

/** Longest wait for a connection: some round trips, less than it takes to repeat a lost packet. */
const CONNECT_MILLISECONDS = 150;
/** A request that must run once goes on a connection that was used this recently, or a new one. */
const FRESH_IDLE_MILLISECONDS = 6_000;
/** Answers up to this size are read whole before the caller gets any of it. */
const WHOLE_ANSWER_BYTES = 1_048_576;
/** A write on a dropped connection is reset after a round trip; later the target had begun. */
const DROP_MILLISECONDS = 100;

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

  /** Sends a request once. Never rejects, and never sends a second time by itself. */
  public async send(
    target: TargetEntry,
    request: OutgoingRequest,
    signal: AbortSignal,
  ): Promise<CallResult> {
    if (signal.aborted) return { kind: 'cancelled' };
    const reused = this.takeIdle(target.id, request);
    if (reused !== undefined) {
      const idle = this.clock.now() - reused.idleSince;
      return this.exchange(target, request, reused.socket, idle, signal);
    }
    const socket = await this.open(target, signal);
    if ('kind' in socket) return socket;
    if (signal.aborted) {
      socket.destroy();
      return { kind: 'cancelled' };
    }
    return this.exchange(target, request, socket, 0, signal);
  }

  /** Closes the connections of a target that is gone. */
  public forget(target: string): void {
    this.idle.forget(target);
  }

  public close(): void {
    this.idle.close();
  }

  private takeIdle(target: string, request: OutgoingRequest): IdleConnection | undefined {
    if (request.needsNewConnection) return undefined;
    const longest = this.idleReuse.longestIdle(target);
    const isOnce = request.kind === 'once';
    return this.idle.take(target, isOnce ? Math.min(longest, FRESH_IDLE_MILLISECONDS) : longest);
  }

  private open(
    target: TargetEntry,
    signal: AbortSignal,
  ): Promise<Socket | Extract<CallResult, { kind: 'not-sent' | 'cancelled' }>> {
    const [host, port] = target.address.split(':');
    this.counters.add('target_connections', 'opened');
    return new Promise((resolve) => {
      const socket = connect({ host: host ?? '', port: Number(port), noDelay: true });
      let cancel = () => {};
      const end = (result: Extract<CallResult, { kind: 'not-sent' | 'cancelled' }>) => {
        cancel();
        socket.destroy();
        resolve(result);
      };
      const fail = (detail: string, isRefused: boolean) =>
        end({ kind: 'not-sent', detail, isRefused });
      const onAbort = () => end({ kind: 'cancelled' });
      cancel = this.clock.after(CONNECT_MILLISECONDS, () => fail('no connection in time', false));
      signal.addEventListener('abort', onAbort, { once: true });
      socket.on('error', (error: NodeJS.ErrnoException) =>
        fail(error.message, error.code === 'ECONNREFUSED' || error.code === 'ECONNRESET'),
      );
      socket.once('connect', () => {
        cancel();
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
  ): Promise<CallResult> {
    return new Promise((resolve) => {
      let isSettled = false;
      let stopWaiting = () => {};
      const settle = (result: CallResult) => {
        if (isSettled) return;
        isSettled = true;
        stopWaiting();
        resolve(result);
      };
      const client = this.write(target, request, socket);
      const giveUp = (result: CallResult) => {
        if (isSettled) return;
        settle(result);
        client.destroy();
        socket.destroy();
      };
      const cancelTimer = this.clock.after(request.deadline - this.clock.now(), () =>
        giveUp({ kind: 'timeout' }),
      );
      const onAbort = () => giveUp({ kind: 'cancelled' });
      signal.addEventListener('abort', onAbort, { once: true });
      stopWaiting = () => {
        cancelTimer();
        signal.removeEventListener('abort', onAbort);
      };
      const startedAt = this.clock.now();
      let hasAnswered = false;
      const breakOff = (detail: string) => {
        const isDrop =
          !hasAnswered &&
          idleMilliseconds > HOT_MILLISECONDS &&
          this.clock.now() - startedAt < DROP_MILLISECONDS;
        giveUp({ kind: isDrop ? 'dropped' : 'broken', detail });
      };
      client.on('error', (error) => breakOff(error.message));
      client.on('close', () => breakOff('connection closed'));
      client.on('response', (response) => {
        hasAnswered = true;
        this.read(response, request, settle, breakOff);
        socket.once('free', () => this.idle.keep(target.id, socket, readIdleTime(response)));
      });
    });
  }

  private write(target: TargetEntry, request: OutgoingRequest, socket: Socket): ClientRequest {
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
    // Without an agent, Node takes the connection for one that ends with its first answer.
    client.shouldKeepAlive = true;
    client.end(hasBody ? request.body : undefined);
    return client;
  }

  private read(
    response: IncomingMessage,
    request: OutgoingRequest,
    settle: (result: CallResult) => void,
    breakOff: (detail: string) => void,
  ): void {
    const refusal = readRefusal(response, this.names);
    if (refusal === undefined && isOfAnotherRequest(response, this.names, request.id)) {
      this.counters.add('target_answers', 'of-another-request');
      breakOff('answer of another request');
      return;
    }
    const parts: Buffer[] = [];
    let size = 0;
    const finish = (rest?: PassThrough) => {
      if (refusal !== undefined) {
        settle(refusal);
        return;
      }
      const answer = readTargetAnswer(response, this.names, Buffer.concat(parts), rest);
      settle({ kind: 'answered', answer });
    };
    const onData = (part: Buffer) => {
      parts.push(part);
      size += part.length;
      if (size <= WHOLE_ANSWER_BYTES) return;
      response.removeListener('data', onData);
      const rest = new PassThrough();
      response.on('error', (error) => rest.destroy(error));
      response.pipe(rest);
      finish(rest);
    };
    response.on('data', onData);
    response.on('error', (error) => breakOff(error.message));
    response.on('end', () => (response.complete ? finish() : breakOff('answer cut short')));
  }
}
