/**
 * Connections to targets and the exchange of one request on one of them. A connection carries one
 * request at a time. Bytes that arrive on an idle one belong to no request and end it.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { PassThrough } from 'node:stream';
import type { Clock, Counters } from '@cactusrun/core';
import { endToEndHeaders, listHeaders } from '@cactusrun/requests';
import type IdleReuse from './IdleReuse.js';
import { HOT_MILLISECONDS } from './IdleReuse.js';
import type { CallResult, OutgoingRequest, TargetAnswer, TargetFieldNames } from './TargetCall.js';
import type { TargetEntry } from './TargetEntry.js';

/** Longest wait for a connection: some round trips, less than it takes to repeat a lost packet. */
const CONNECT_MILLISECONDS = 150;
/** An idle connection is left this long before the target says that it will close it. */
const IDLE_MARGIN_MILLISECONDS = 2_000;
/** Idle time assumed of targets that do not state one. */
const IDLE_MILLISECONDS = 4_000;
/** A request that must run once goes on a connection that was used this recently, or a new one. */
const FRESH_IDLE_MILLISECONDS = 6_000;
/** Answers up to this size are read whole before the caller gets any of it. */
const WHOLE_ANSWER_BYTES = 1_048_576;
/** A write on a dropped connection is reset after a round trip; later the target had begun. */
const DROP_MILLISECONDS = 100;
const MISDIRECTED_STATUS = 421;
const BODILESS_STATUSES: readonly number[] = [204, 304];
const SECOND_MILLISECONDS = 1_000;

interface IdleConnection {
  readonly socket: Socket;
  readonly idleSince: number;
  readonly idleMilliseconds: number;
  readonly onUnexpected: () => void;
}

export default class TargetConnections {
  private readonly idle = new Map<string, IdleConnection[]>();

  private isClosed = false;

  constructor(
    private readonly names: TargetFieldNames,
    private readonly idleReuse: IdleReuse,
    private readonly clock: Clock,
    private readonly counters: Counters,
  ) {}

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
    this.idle.get(target)?.forEach(({ socket }) => socket.destroy());
    this.idle.delete(target);
  }

  public close(): void {
    this.isClosed = true;
    [...this.idle.keys()].forEach((target) => this.forget(target));
  }

  private takeIdle(target: string, request: OutgoingRequest): IdleConnection | undefined {
    if (request.needsNewConnection) return undefined;
    const now = this.clock.now();
    const list = this.idle.get(target) ?? [];
    const longest = this.idleReuse.longestIdle(target);
    const isFresh = ({ idleSince, idleMilliseconds }: IdleConnection) =>
      now - idleSince <
      Math.min(
        idleMilliseconds,
        longest,
        request.kind === 'once' ? FRESH_IDLE_MILLISECONDS : idleMilliseconds,
      );
    list
      .filter((connection) => now - connection.idleSince >= connection.idleMilliseconds)
      .forEach(({ socket }) => socket.destroy());
    const index = list.findLastIndex((connection) => isFresh(connection));
    const taken = index < 0 ? undefined : list.splice(index, 1)[0];
    if (taken === undefined) return undefined;
    ['data', 'end', 'error', 'close'].forEach((event) => {
      taken.socket.removeListener(event, taken.onUnexpected);
    });
    return taken.socket.destroyed ? undefined : taken;
  }

  private keep(target: string, socket: Socket, idleMilliseconds: number): void {
    if (this.isClosed || socket.destroyed || !socket.writable) {
      socket.destroy();
      return;
    }
    const list = this.idle.get(target) ?? [];
    this.idle.set(target, list);
    const connection: IdleConnection = {
      socket,
      idleSince: this.clock.now(),
      idleMilliseconds,
      onUnexpected: () => {
        const index = list.indexOf(connection);
        if (index >= 0) list.splice(index, 1);
        socket.destroy();
      },
    };
    ['data', 'end', 'error', 'close'].forEach((event) => {
      socket.on(event, connection.onUnexpected);
    });
    socket.resume();
    list.push(connection);
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
        socket.once('free', () => this.keep(target.id, socket, idleTimeOf(response)));
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
    const status = response.statusCode ?? 0;
    const answered = response.headers[this.names.attemptId.toLowerCase()];
    const refusal = this.refusalOf(response);
    const isOther = answered !== undefined ? answered !== request.id : isSuccess(status);
    if (isOther && refusal === undefined) {
      this.counters.add('target_answers', 'of-another-request');
      breakOff('answer of another request');
      return;
    }
    const parts: Buffer[] = [];
    let size = 0;
    const finish = (rest?: PassThrough) => {
      if (refusal !== undefined) settle(refusal);
      else
        settle({ kind: 'answered', answer: this.describe(response, Buffer.concat(parts), rest) });
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

  private refusalOf(
    response: IncomingMessage,
  ): Extract<CallResult, { kind: 'not-run' }> | undefined {
    if (response.statusCode === MISDIRECTED_STATUS) {
      return { kind: 'not-run', reason: 'other-target' };
    }
    if (response.headers[this.names.notRun.toLowerCase()] === undefined) return undefined;
    return { kind: 'not-run', reason: response.statusCode === 503 ? 'full' : 'refused' };
  }

  private describe(
    response: IncomingMessage,
    head: Buffer,
    rest: PassThrough | undefined,
  ): TargetAnswer {
    const load = response.headers[this.names.load.toLowerCase()];
    const [running, waiting] = typeof load === 'string' ? load.split(',').map(Number) : [];
    const requestsThere =
      running !== undefined && waiting !== undefined && Number.isFinite(running + waiting)
        ? running + waiting
        : undefined;
    return {
      status: response.statusCode ?? 0,
      fields: endToEndHeaders(listHeaders(response.rawHeaders), isFraming),
      head,
      rest,
      requestsThere,
      isFramed:
        response.headers['content-length'] !== undefined ||
        response.headers['transfer-encoding'] !== undefined ||
        BODILESS_STATUSES.includes(response.statusCode ?? 0),
      isSigned: response.headers[this.names.signature.toLowerCase()] !== undefined,
    };
  }
}

/** The length is set anew towards the caller. */
function isFraming(name: string): boolean {
  return name === 'content-length';
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** How long a connection may stay idle after the answer. */
function idleTimeOf(response: IncomingMessage): number {
  const stated = /timeout=(\d+)/.exec(String(response.headers['keep-alive'] ?? ''))?.[1];
  if (stated === undefined) return IDLE_MILLISECONDS;
  const milliseconds = Number(stated) * SECOND_MILLISECONDS;
  return Math.max(milliseconds / 2, milliseconds - IDLE_MARGIN_MILLISECONDS);
}
