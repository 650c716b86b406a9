/** Pool of idle connections to targets. One that receives bytes without a request is closed. */
import type { Socket } from 'node:net';
import type { Clock } from '@cactusrun/core';

const UNEXPECTED_EVENTS: readonly string[] = ['data', 'end', 'error', 'close'];

export interface IdleConnection {
  readonly socket: Socket;
  /** Monotonic time at which its last answer ended. */
  readonly idleSince: number;
  readonly maximumIdleMilliseconds: number;
  readonly onUnexpected: () => void;
}

export default class IdleConnections {
  private readonly idle = new Map<string, IdleConnection[]>();

  private isClosed = false;

  constructor(private readonly clock: Clock) {}

  /**
   * Takes the most recently used connection to a target.
   *
   * @param reuseLimit - idle time in milliseconds from which on no connection is reused
   */
  public acquire(target: string, reuseLimit: number): IdleConnection | undefined {
    const now = this.clock.now();
    const list = this.idle.get(target) ?? [];
    list
      .filter((connection) => now - connection.idleSince >= connection.maximumIdleMilliseconds)
      .forEach(({ socket }) => socket.destroy());
    const index = list.findLastIndex((connection) => isFresh(connection, now, reuseLimit));
    const taken = index < 0 ? undefined : list.splice(index, 1)[0];
    if (taken === undefined) return undefined;
    UNEXPECTED_EVENTS.forEach((event) => taken.socket.removeListener(event, taken.onUnexpected));
    return taken.socket.destroyed ? undefined : taken;
  }

  /**
   * Whether `acquire` would return a connection.
   *
   * @param reuseLimit - idle time in milliseconds from which on no connection is reused
   */
  public has(target: string, reuseLimit: number): boolean {
    const now = this.clock.now();
    const list = this.idle.get(target) ?? [];
    return list.some((connection) => isFresh(connection, now, reuseLimit));
  }

  /** Returns a connection to the pool once its answer has ended. */
  public release(target: string, socket: Socket, maximumIdleMilliseconds: number): void {
    if (this.isClosed || socket.destroyed || !socket.writable) {
      socket.destroy();
      return;
    }
    const list = this.idle.get(target) ?? [];
    this.idle.set(target, list);
    const connection: IdleConnection = {
      socket,
      idleSince: this.clock.now(),
      maximumIdleMilliseconds,
      onUnexpected: () => {
        const index = list.indexOf(connection);
        if (index >= 0) list.splice(index, 1);
        socket.destroy();
      },
    };
    UNEXPECTED_EVENTS.forEach((event) => socket.on(event, connection.onUnexpected));
    socket.resume();
    list.push(connection);
  }

  /** Closes the idle connections to a target. */
  public forget(target: string): void {
    this.idle.get(target)?.forEach(({ socket }) => socket.destroy());
    this.idle.delete(target);
  }

  /** Closes the idle connections to all targets. */
  public forgetAll(): void {
    [...this.idle.keys()].forEach((target) => this.forget(target));
  }

  /** Closes every connection, and those that are released later. */
  public close(): void {
    this.isClosed = true;
    this.forgetAll();
  }
}

function isFresh(
  { idleSince, maximumIdleMilliseconds }: IdleConnection,
  now: number,
  reuseLimit: number,
): boolean {
  return now - idleSince < Math.min(maximumIdleMilliseconds, reuseLimit);
}
