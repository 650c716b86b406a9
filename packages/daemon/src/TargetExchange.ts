/** One HTTP request to a target, from connecting to the header section of the response. */
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { pipeline } from 'node:stream';
import type { Clock, ConnectionAge } from '@cactusrun/core';
import type { Attempt, TargetResult } from '@cactusrun/requests';
import { discardBody, listHeaders } from '@cactusrun/requests';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
/** Response header with which an upstream states that it did not run a request. */
const STATE_HEADER = 'upstream-state';
const SHED_STATES: readonly string[] = ['shed', 'draining'];

export default class TargetExchange {
  private isSent = false;

  private isSettled = false;

  constructor(
    private readonly request: ClientRequest,
    private readonly clock: Clock,
    private readonly resolve: (result: TargetResult) => void,
    private readonly onSent: (connection: ConnectionAge) => void,
  ) {}

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
    const cancel = this.clock.after(CONNECT_TIMEOUT_MILLISECONDS, () =>
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
    this.isSent = true;
    this.onSent(connection);
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
    this.isSettled = true;
    const state = response.headers[STATE_HEADER];
    if (typeof state === 'string' && SHED_STATES.includes(state)) {
      discardBody(response, this.clock, () => this.request.destroy());
      this.resolve({ kind: 'shed', isLeaving: state === 'draining' });
      return;
    }
    this.resolve({
      kind: 'answered',
      status: response.statusCode ?? 0,
      headers: listHeaders(response.rawHeaders),
      body: response,
    });
  }

  private fail(kind: 'broken' | 'timeout', detail: string): void {
    if (!this.request.destroyed) this.request.destroy();
    if (this.isSettled) return;
    this.isSettled = true;
    this.resolve(this.isSent ? { kind, detail } : { kind: 'connect-failed', detail });
  }
}
