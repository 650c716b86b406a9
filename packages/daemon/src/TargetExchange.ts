/** One HTTP request to a target, from connecting to the header section of the response. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { pipeline } from 'node:stream';
import type { Clock, ConnectionAge } from '@cactusrun/core';
import type { Attempt, TargetResult } from '@cactusrun/requests';
import { discardBody, listHeaders } from '@cactusrun/requests';
import hasVisibleEnd from './hasVisibleEnd.js';
import { REQUEST_ID_HEADER, STATE_HEADER } from './headers.js';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const SHED_STATES: readonly string[] = ['shed', 'draining'];

export interface TargetExchangeParts {
  readonly request: ClientRequest;
  /** Sent with the request; the answer repeats it. */
  readonly requestId: string;
  readonly clock: Clock;
  readonly resolve: (result: TargetResult) => void;
  readonly onSent: (connection: ConnectionAge) => void;
}

export default class TargetExchange {
  private readonly request: ClientRequest;

  /** Undefined until the request is sent. */
  private connection: ConnectionAge | undefined;

  private isSettled = false;

  constructor(private readonly parts: TargetExchangeParts) {
    this.request = parts.request;
  }

  public run(attempt: Attempt, signal: AbortSignal): void {
    const { request } = this;
    const onAbort = () => this.fail('timeout', 'cancelled or past its deadline');
    signal.addEventListener('abort', onAbort, { once: true });
    request.on('close', () => signal.removeEventListener('abort', onAbort));
    request.on('socket', (socket: Socket) => this.awaitConnection(socket, attempt));
    request.on('response', (response) => this.handleResponse(response));
    request.on('error', (error) => this.fail('broken', error.message));
    request.on('close', () => this.fail('broken', 'connection closed'));
  }

  private awaitConnection(socket: Socket, attempt: Attempt): void {
    if (!socket.connecting) {
      this.write(attempt, 'reused');
      return;
    }
    const cancel = this.parts.clock.after(CONNECT_TIMEOUT_MILLISECONDS, () =>
      this.fail('broken', 'no connection in time'),
    );
    this.request.on('close', cancel);
    socket.once('connect', () => {
      cancel();
      this.write(attempt, 'new');
    });
  }

  private write(attempt: Attempt, connection: ConnectionAge): void {
    if (this.isSettled) return;
    this.connection = connection;
    this.parts.onSent(connection);
    const { head, rest } = attempt.body;
    if (rest === undefined) {
      this.request.end(head);
      return;
    }
    this.request.write(head);
    pipeline(rest, this.request, (error) => {
      if (error) this.request.destroy(error);
    });
  }

  private handleResponse(response: IncomingMessage): void {
    if (this.isSettled) {
      response.destroy();
      return;
    }
    if (!this.isBelieved(response)) {
      this.refuse(response, 'the answer does not name the request');
      return;
    }
    const state = response.headers[STATE_HEADER];
    if (typeof state === 'string' && SHED_STATES.includes(state)) {
      this.isSettled = true;
      discardBody(response, this.parts.clock, () => this.request.destroy());
      this.parts.resolve({ kind: 'shed', isLeaving: state === 'draining' });
      return;
    }
    if (!hasVisibleEnd(response, this.request.method)) {
      this.refuse(response, 'the answer has neither a length nor chunks');
      return;
    }
    this.isSettled = true;
    this.parts.resolve({
      kind: 'answered',
      status: response.statusCode ?? 0,
      headers: listHeaders(response.rawHeaders),
      body: response,
    });
  }

  private refuse(response: IncomingMessage, detail: string): void {
    response.destroy();
    this.fail('broken', detail);
  }

  /**
   * Whether the answer belongs to this request. An upstream that names no requests is believed on a
   * new connection, which had no other one, and gets a new connection each time.
   */
  private isBelieved(response: IncomingMessage): boolean {
    const named = response.headers[REQUEST_ID_HEADER];
    if (named !== undefined) return named === this.parts.requestId;
    this.request.shouldKeepAlive = false;
    return this.connection === 'new';
  }

  private fail(kind: 'broken' | 'timeout', detail: string): void {
    if (!this.request.destroyed) this.request.destroy();
    if (this.isSettled) return;
    this.isSettled = true;
    this.parts.resolve(
      this.connection !== undefined ? { kind, detail } : { kind: 'connect-failed', detail },
    );
  }
}
