/**
 * The exclusive use of a connection by one request. It ends once: the connection is either handed
 * back to the pool or closed. From then on the request has no way to the connection, which may carry
 * the next request.
 */
import type { Socket } from 'node:net';
import { invariant } from '@cactusrun/core';

/** Takes a connection back, with the time in milliseconds that it may stay idle. */
export type HandBack = (socket: Socket, maximumIdleMilliseconds: number) => void;

export default class ConnectionLease {
  private held: Socket | undefined;

  constructor(
    socket: Socket,
    private readonly handBack: HandBack,
  ) {
    this.held = socket;
  }

  /** @throws InvariantError after the end of the lease */
  public get socket(): Socket {
    invariant(this.held !== undefined, 'the lease of this connection has ended');
    return this.held;
  }

  /**
   * Hands the connection back as soon as Node's client has read the whole answer from it; does
   * nothing after the end of the lease.
   */
  public releaseWhenFree(maximumIdleMilliseconds: number): void {
    this.held?.once('free', () => this.release(maximumIdleMilliseconds));
  }

  /** Hands the connection back, unless the lease has ended. */
  public release(maximumIdleMilliseconds: number): void {
    const socket = this.end();
    if (socket !== undefined) this.handBack(socket, maximumIdleMilliseconds);
  }

  /** Closes the connection, unless the lease has ended. */
  public close(): void {
    this.end()?.destroy();
  }

  private end(): Socket | undefined {
    const { held } = this;
    this.held = undefined;
    return held;
  }
}
