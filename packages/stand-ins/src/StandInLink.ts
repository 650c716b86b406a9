/**
 * Simulates a network link with a TCP relay. Each direction has a delay and a bandwidth. Faults drop
 * all data in one direction, drop the data of connections open at the time, or refuse new ones.
 */
import type { Socket } from 'node:net';
import { createConnection, createServer } from 'node:net';
import type { Clock, Stop } from '@cactusrun/core';
import type LinkPipe from './LinkPipe.js';

export type LinkDirection = 'forward' | 'backward';

export interface LinkFaults {
  /** Data in these directions is dropped; connections stay open. */
  silentDirections: readonly LinkDirection[];
  /** New connections are refused. */
  isRefusingConnections: boolean;
}

export interface StandInLinkOptions {
  /** `ip:port` to listen on. */
  readonly address: string;
  /** `ip:port` at the far end. */
  readonly farAddress: string;
  /** One-way delay. */
  readonly delayMilliseconds: number;
  readonly clock: Clock;
  /** Bandwidth limits, shared by all relays of one link; unlimited by default. */
  readonly pipes?: Readonly<Record<LinkDirection, LinkPipe>>;
}

/** The relay stops reading while it buffers more than this, like the buffer before a slow link. */
const BUFFER_BYTES = 512 * 1024;
/** Header and payload bytes of one TCP packet. */
const PACKET_HEADER_BYTES = 40;
const PACKET_PAYLOAD_BYTES = 1_460;
/** Packets that open and close a connection, in each direction. */
const CONNECTION_PACKETS: Readonly<Record<LinkDirection, number>> = { forward: 4, backward: 3 };

export default class StandInLink {
  public readonly faults: LinkFaults = { silentDirections: [], isRefusingConnections: false };

  private readonly sockets = new Set<Socket>();

  /** Sockets whose data is dropped permanently. */
  private readonly silencedSockets = new Set<Socket>();

  constructor(private readonly options: StandInLinkOptions) {}

  /** Starts relaying; the returned function stops it. */
  public async start(): Promise<Stop> {
    const [ip, port] = this.options.address.split(':');
    const server = createServer((nearSocket) => this.relay(nearSocket));
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), ip, resolve);
    });
    return () =>
      new Promise((resolve) => {
        this.sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      });
  }

  /** Drops data in these directions only; an empty list restores both. */
  public silence(directions: readonly LinkDirection[]): void {
    this.faults.silentDirections = directions;
  }

  /** Sets whether new connections are refused. */
  public setRefusingConnections(isRefusingConnections: boolean): void {
    this.faults.isRefusingConnections = isRefusingConnections;
  }

  /** Permanently drops the data of all connections that are open now; new ones work. */
  public silenceOpenConnections(): void {
    this.sockets.forEach((socket) => this.silencedSockets.add(socket));
  }

  private relay(nearSocket: Socket): void {
    if (this.faults.isRefusingConnections) {
      nearSocket.destroy();
      return;
    }
    const [ip, port] = this.options.farAddress.split(':');
    nearSocket.pause();
    const farSocket = createConnection({ host: ip ?? '', port: Number(port) });
    this.countPackets('forward');
    this.countPackets('backward');
    this.pump(nearSocket, farSocket, 'forward');
    this.pump(farSocket, nearSocket, 'backward');
    // The TCP handshake takes one round trip before the first byte is sent.
    nearSocket.pause();
    this.options.clock.after(2 * this.options.delayMilliseconds, () => nearSocket.resume());
  }

  private pump(from: Socket, to: Socket, direction: LinkDirection): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    let bufferedBytes = 0;
    const chunksInTransit: Buffer[] = [];
    from.on('data', (chunk: Buffer) => {
      if (this.isSilent(from, direction)) return;
      bufferedBytes += chunk.length;
      if (bufferedBytes > BUFFER_BYTES) from.pause();
      chunksInTransit.push(chunk);
      // Timers of different durations may fire out of order; chunks are written in arrival order.
      this.options.clock.after(this.transitMilliseconds(chunk.length, direction), () => {
        const next = chunksInTransit.shift() ?? Buffer.alloc(0);
        bufferedBytes -= next.length;
        if (bufferedBytes <= BUFFER_BYTES) from.resume();
        if (!this.isSilent(from, direction)) to.write(next);
      });
    });
    let isReset = false;
    const onEnd = () => {
      this.sockets.delete(from);
      this.silencedSockets.delete(from);
      this.options.clock.after(this.transitMilliseconds(0, direction), () => {
        if (isReset) to.resetAndDestroy();
        else to.destroy();
      });
    };
    // Node reports an end for a reset that arrives with the last bytes; the remote address is gone then.
    from.prependOnceListener('end', () => {
      isReset = from.remoteAddress === undefined;
    });
    from.on('close', onEnd);
    from.on('error', () => {
      isReset = true;
      onEnd();
    });
  }

  private countPackets(direction: LinkDirection): void {
    this.options.pipes?.[direction].enqueue(CONNECTION_PACKETS[direction] * PACKET_HEADER_BYTES);
  }

  private transitMilliseconds(bytes: number, direction: LinkDirection): number {
    const packets = Math.ceil(bytes / PACKET_PAYLOAD_BYTES);
    const totalBytes = bytes + packets * PACKET_HEADER_BYTES;
    const queueMilliseconds = this.options.pipes?.[direction].enqueue(totalBytes) ?? 0;
    return queueMilliseconds + this.options.delayMilliseconds;
  }

  private isSilent(from: Socket, direction: LinkDirection): boolean {
    return this.silencedSockets.has(from) || this.faults.silentDirections.includes(direction);
  }
}
