/** Connections to targets that carry no request. Bytes that arrive on one belong to none and end it. */
import type { Socket } from 'node:net';
import type { Clock } from '@cactusrun/core';

const EVENTS: readonly string[] = ['data', 'end', 'error', 'close'];

export interface IdleConnection {
  readonly socket: Socket;
  /** Monotonic time at which its last answer ended. */
  readonly idleSince: number;
  /** How long it may stay idle. */
  readonly idleMilliseconds: number;
  readonly onUnexpected: () => void;
}

export default class IdleConnections {
  private readonly idle = new Map<string, IdleConnection[]>();

  private isClosed = false;

  constructor(private readonly clock: Clock) {}

  /**
   * Takes the connection to a target that was used last.
   *
   * @param longestIdle - idle time from which on none is taken
   */
  public take(target: string, longestIdle: number): IdleConnection | undefined {
    const now = this.clock.now();
    const list = this.idle.get(target) ?? [];
    const isFresh = ({ idleSince, idleMilliseconds }: IdleConnection) =>
      now - idleSince < Math.min(idleMilliseconds, longestIdle);
    list
      .filter((connection) => now - connection.idleSince >= connection.idleMilliseconds)
      .forEach(({ socket }) => socket.destroy());
    const index = list.findLastIndex((connection) => isFresh(connection));
    const taken = index < 0 ? undefined : list.splice(index, 1)[0];
    if (taken === undefined) return undefined;
    EVENTS.forEach((event) => taken.socket.removeListener(event, taken.onUnexpected));
    return taken.socket.destroyed ? undefined : taken;
  }

  /** Keeps a connection whose answer has ended. */
  public keep(target: string, socket: Socket, idleMilliseconds: number): void {
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
    EVENTS.forEach((event) => socket.on(event, connection.onUnexpected));
    socket.resume();
    list.push(connection);
  }

  /** Closes the connections to a target. */
  public forget(target: string): void {
    this.idle.get(target)?.forEach(({ socket }) => socket.destroy());
    this.idle.delete(target);
  }

  /** Closes every connection, and those that come later. */
  public close(): void {
    this.isClosed = true;
    [...this.idle.keys()].forEach((target) => this.forget(target));
  }
}
