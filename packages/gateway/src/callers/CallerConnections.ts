/** The open connections of callers, and what is done with their requests when the daemon stops. */
import type { Socket } from 'node:net';
import type { Clock } from '@cactusrun/core';
import CallerConnection from './CallerConnection.js';
import type PendingRequest from './PendingRequest.js';

export default class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  /** Monotonic time from which on nothing new is passed on. */
  private refusesFrom = Number.POSITIVE_INFINITY;

  /** Whether what has not been passed on is refused. */
  private isRefusing = false;

  private onIdle: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** The connection of a socket, from its first request on. */
  public of(socket: Socket): CallerConnection {
    const known = this.connections.get(socket);
    if (known !== undefined) return known;
    const connection = new CallerConnection(socket, () => this.checkIdle());
    if (this.isRefusing) connection.refuseUnsent();
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      this.checkIdle();
    });
    return connection;
  }

  /** The connection of a socket, if a request has come on it. */
  public find(socket: Socket): CallerConnection | undefined {
    return this.connections.get(socket);
  }

  /** Passes nothing new on from that time on, even if the call of `refuseUnsent` is late. */
  public refuseAfter(milliseconds: number): void {
    this.refusesFrom = this.clock.now() + milliseconds;
  }

  /** Refuses what has been read and not been passed on, also what arrives from now on. */
  public refuseUnsent(): void {
    this.isRefusing = true;
    this.all.forEach((connection) => connection.refuseUnsent());
  }

  /** Marks a request as passed on to a target or a peer; returns false if it must not be. */
  public passOn(request: PendingRequest): boolean {
    if (!this.isRefusing && this.clock.now() >= this.refusesFrom) this.refuseUnsent();
    return request.passOn();
  }

  /** Waits until no request is in flight. */
  public async waitUntilIdle(): Promise<void> {
    if (this.requestsInFlight === 0) return;
    await new Promise<void>((resolve) => {
      this.onIdle = resolve;
    });
  }

  /** Gives up the requests at targets and peers; their callers are told that they may have run. */
  public giveUp(): void {
    this.all.forEach((connection) => connection.giveUp());
  }

  /** Resets each connection with an answer that is not whole, so that this shows. */
  public resetHalfAnswered(): void {
    this.all.forEach((connection) => connection.resetHalfAnswered());
  }

  /** Requests whose answer has not been written, on connections that are still open. */
  public get requestsInFlight(): number {
    return this.all.reduce((sum, { size }) => sum + size, 0);
  }

  /** The requests that `requestsInFlight` counts. */
  public get unanswered(): readonly PendingRequest[] {
    return this.all.flatMap(({ unanswered }) => unanswered);
  }

  private get all(): readonly CallerConnection[] {
    return [...this.connections.values()];
  }

  private checkIdle(): void {
    if (this.onIdle !== undefined && this.requestsInFlight === 0) this.onIdle();
  }
}
