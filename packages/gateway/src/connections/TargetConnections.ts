/** Sends requests to targets over reused connections, one request at a time on each. */
import type { Socket } from 'node:net';
import type { Clock, Counters } from '@cactusrun/core';
import type MemoryBudget from '../memory/MemoryBudget.js';
import type { TargetEntry } from '../state/TargetEntry.js';
import type { OpenConnection } from './openConnection.js';
import { CONNECT_TIMEOUT_MILLISECONDS, openAddress } from './openConnection.js';
import ConnectionLease from './ConnectionLease.js';
import type { IdleConnection } from './IdleConnections.js';
import IdleConnections from './IdleConnections.js';
import type IdleReuse from './IdleReuse.js';
import type { AttemptResult, OutgoingRequest, TargetFieldNames } from './TargetAttempt.js';
import TargetExchange from './TargetExchange.js';

/** A request that must run once is sent on a connection used this recently, or on a new one. */
const RUN_ONCE_IDLE_MILLISECONDS = 6_000;

/** An open connection that carries no request. */
interface OpenedConnection {
  readonly socket: Socket;
  readonly isReused: boolean;
  /** Time since its last answer ended; 0 for a new connection. */
  readonly idleMilliseconds: number;
}

/** What is needed to reach a target, or a peer in the place of one. */
type ConnectionTarget = Pick<TargetEntry, 'id' | 'address'>;

export default class TargetConnections {
  private readonly idle: IdleConnections;

  constructor(
    private readonly names: TargetFieldNames,
    private readonly idleReuse: IdleReuse,
    private readonly clock: Clock,
    private readonly counters: Counters,
    private readonly openConnection: OpenConnection,
    private readonly memory?: MemoryBudget,
  ) {
    this.idle = new IdleConnections(clock);
  }

  /** Sends a request once, without retries. The returned promise never rejects. */
  public async send(
    target: ConnectionTarget,
    request: OutgoingRequest,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    if (signal.aborted) return { kind: 'cancelled' };
    const reused = this.acquireIdle(target.id, request);
    if (reused !== undefined) {
      const idleMilliseconds = this.clock.now() - reused.idleSince;
      const connection = { socket: reused.socket, isReused: true, idleMilliseconds };
      return this.exchange(target, request, connection, signal);
    }
    const socket = await this.open(target, signal);
    if ('kind' in socket) return socket;
    if (signal.aborted) {
      socket.destroy();
      return { kind: 'cancelled' };
    }
    const connection = { socket, isReused: false, idleMilliseconds: 0 };
    return this.exchange(target, request, connection, signal);
  }

  /** Closes the idle connections to all targets. */
  public forgetAll(): void {
    this.idle.forgetAll();
  }

  /** Closes the idle connections to a target that was removed or timed out. */
  public forget(target: string): void {
    this.idle.forget(target);
  }

  public close(): void {
    this.idle.close();
  }

  /** Whether a request would be sent on an open connection to the target. */
  public hasIdle(target: string, kind: OutgoingRequest['kind']): boolean {
    return this.idle.has(target, this.reuseLimit(target, kind));
  }

  private acquireIdle(target: string, request: OutgoingRequest): IdleConnection | undefined {
    if (request.needsNewConnection) return undefined;
    return this.idle.acquire(target, this.reuseLimit(target, request.kind));
  }

  /** Idle time in milliseconds from which on a connection is not reused. */
  private reuseLimit(target: string, kind: OutgoingRequest['kind']): number {
    const maximumIdle = this.idleReuse.maximumIdleMilliseconds(target);
    return kind === 'once' ? Math.min(maximumIdle, RUN_ONCE_IDLE_MILLISECONDS) : maximumIdle;
  }

  private open(
    target: ConnectionTarget,
    signal: AbortSignal,
  ): Promise<Socket | Extract<AttemptResult, { kind: 'not-sent' | 'cancelled' }>> {
    return new Promise((resolve) => {
      const socket = openAddress(this.openConnection, target.address);
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
    target: ConnectionTarget,
    request: OutgoingRequest,
    { socket, isReused, idleMilliseconds }: OpenedConnection,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const { names, clock, counters, memory, idle } = this;
    const lease = new ConnectionLease(socket, (freed, maximumIdleMilliseconds) =>
      idle.release(target.id, freed, maximumIdleMilliseconds),
    );
    const connection = { lease, isReused, idleMilliseconds };
    const parts = { names, clock, counters, memory };
    return new TargetExchange(parts, target.id, request, connection).run(signal);
  }
}
