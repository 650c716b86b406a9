/**
 * A stand-in for a network link, as a TCP relay: delay and bandwidth each way, silence in one
 * direction, and open connections that fall silent for good while new ones work.
 */
import type { Socket } from 'node:net';
import { createConnection, createServer } from 'node:net';
import type { Clock, Stop } from '@cactusrun/core';
import type LinkPipe from './LinkPipe.js';

export type LinkDirection = 'forward' | 'backward';

export interface LinkFaults {
  /** Nothing passes in these directions; connections stay open. */
  silentDirections: readonly LinkDirection[];
  /** New connections are refused. */
  isCut: boolean;
}

export interface StandInLinkOptions {
  /** `ip:port` to listen on. */
  readonly address: string;
  /** `ip:port` at the far end. */
  readonly farAddress: string;
  /** One way. */
  readonly delayMilliseconds: number;
  readonly clock: Clock;
  /** Shared by every relay of one link; unlimited when left out. */
  readonly pipes?: Readonly<Record<LinkDirection, LinkPipe>>;
}

/** Bytes in the relay beyond which it stops reading, like the buffer before a narrow link. */
const BUFFER_BYTES = 512 * 1024;
/** Bytes of the headers of one packet, and of payload in it. */
const PACKET_HEADER_BYTES = 40;
const PACKET_PAYLOAD_BYTES = 1_460;
/** Packets that open and close a connection, in each direction. */
const CONNECTION_PACKETS: Readonly<Record<LinkDirection, number>> = { forward: 4, backward: 3 };

export default class StandInLink {
  public readonly faults: LinkFaults = { silentDirections: [], isCut: false };

  private readonly sockets = new Set<Socket>();

  /** Connections that fell silent for good. */
  private readonly muted = new Set<Socket>();

  constructor(private readonly options: StandInLinkOptions) {}

  /** Relays until the returned function is called. */
  public async start(): Promise<Stop> {
    const [ip, port] = this.options.address.split(':');
    const server = createServer((near) => this.relay(near));
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

  /** From now on nothing passes in these directions. */
  public silence(directions: readonly LinkDirection[]): void {
    this.faults.silentDirections = directions;
  }

  /** From now on new connections are refused, or taken again. */
  public cut(isCut: boolean): void {
    this.faults.isCut = isCut;
  }

  /** Every connection open now falls silent for good; new ones work. */
  public muteOpenConnections(): void {
    this.sockets.forEach((socket) => this.muted.add(socket));
  }

  private relay(near: Socket): void {
    if (this.faults.isCut) {
      near.destroy();
      return;
    }
    const [ip, port] = this.options.farAddress.split(':');
    near.pause();
    const far = createConnection({ host: ip ?? '', port: Number(port) });
    this.countPackets('forward');
    this.countPackets('backward');
    this.pump(near, far, 'forward');
    this.pump(far, near, 'backward');
    // Opening a connection takes a round trip before the first byte may go.
    near.pause();
    this.options.clock.after(2 * this.options.delayMilliseconds, () => near.resume());
  }

  private pump(from: Socket, to: Socket, direction: LinkDirection): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    let waiting = 0;
    const underWay: Buffer[] = [];
    from.on('data', (chunk: Buffer) => {
      if (this.isSilent(from, direction)) return;
      waiting += chunk.length;
      if (waiting > BUFFER_BYTES) from.pause();
      underWay.push(chunk);
      // Timers of different lengths may fire out of order; chunks leave in the order they came.
      this.options.clock.after(this.transit(chunk.length, direction), () => {
        const next = underWay.shift() ?? Buffer.alloc(0);
        waiting -= next.length;
        if (waiting <= BUFFER_BYTES) from.resume();
        if (!this.isSilent(from, direction)) to.write(next);
      });
    });
    const end = () => {
      this.sockets.delete(from);
      this.muted.delete(from);
      this.options.clock.after(this.transit(0, direction), () => to.destroy());
    };
    from.on('close', end);
    from.on('error', end);
  }

  private countPackets(direction: LinkDirection): void {
    this.options.pipes?.[direction].occupy(CONNECTION_PACKETS[direction] * PACKET_HEADER_BYTES);
  }

  private transit(bytes: number, direction: LinkDirection): number {
    const packets = Math.ceil(bytes / PACKET_PAYLOAD_BYTES);
    const size = bytes + packets * PACKET_HEADER_BYTES;
    const queued = this.options.pipes?.[direction].occupy(size) ?? 0;
    return queued + this.options.delayMilliseconds;
  }

  private isSilent(from: Socket, direction: LinkDirection): boolean {
    return this.muted.has(from) || this.faults.silentDirections.includes(direction);
  }
}
