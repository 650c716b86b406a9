/** Sends and receives datagrams between daemons. */
import type { Socket } from 'node:dgram';
import { createSocket } from 'node:dgram';
import type { Counters, Logger, Stop } from '@cactusrun/core';
import { CactusrunError, describeError, parseAddress } from '@cactusrun/core';
import { decodePeerMessage, encodePeerMessage } from './PeerCodec.js';
import type { PeerMessage } from './PeerMessage.js';

/** Larger messages are not sent: fragments are lost more often, and peers fetch the state instead. */
export const MAXIMUM_DATAGRAM_BYTES = 16_000;

/** Sends messages to peers; a message may be lost. */
export interface PeerSender {
  /** Returns whether the message was small enough to send. */
  send(addresses: readonly string[], message: PeerMessage): boolean;
}

export default class PeerLink implements PeerSender {
  private readonly socket: Socket = createSocket('udp4');

  private isStopped = false;

  constructor(
    private readonly address: string,
    private readonly counters: Counters,
    private readonly logger: Logger,
    private readonly onMessage: (message: PeerMessage, from: string) => void,
  ) {}

  /** @throws CactusrunError when the address cannot be bound */
  public async start(): Promise<Stop> {
    const own = parseAddress(this.address);
    const context = { step: 'binding for peers', peer: this.address };
    if (own === undefined) throw new CactusrunError('not an address', context);
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', (error) => reject(new CactusrunError(error.message, context)));
      this.socket.bind(own.port, own.host, resolve);
    });
    this.socket.removeAllListeners('error');
    this.socket.on('error', () => this.counters.add('datagrams', 'socket-error'));
    this.socket.on('message', (bytes, from) => this.receive(bytes, `${from.address}:${from.port}`));
    return async () => {
      if (this.isStopped) return;
      this.isStopped = true;
      this.socket.close();
    };
  }

  public send(addresses: readonly string[], message: PeerMessage): boolean {
    if (this.isStopped || addresses.length === 0) return true;
    const bytes = encodePeerMessage(message);
    if (bytes.length > MAXIMUM_DATAGRAM_BYTES) {
      this.counters.add('datagrams', 'too-large');
      return false;
    }
    addresses.forEach((address) => this.sendTo(address, bytes));
    return true;
  }

  /** An exception would end the process: it is counted, and the first one logged. */
  private receive(bytes: Buffer, from: string): void {
    const message = decodePeerMessage(bytes);
    if (message === undefined) {
      this.counters.add('datagrams', 'not-understood');
      return;
    }
    try {
      this.onMessage(message, from);
    } catch (error) {
      if (this.counters.valueOf('datagrams', 'not-handled') === 0) {
        const cause = describeError(error);
        this.logger.warn('datagram-not-handled', { peer: from, kind: message.kind, cause });
      }
      this.counters.add('datagrams', 'not-handled');
    }
  }

  private sendTo(address: string, bytes: Buffer): void {
    const peer = parseAddress(address);
    if (peer === undefined) {
      this.counters.add('datagrams', 'no-address');
      return;
    }
    this.socket.send(bytes, peer.port, peer.host, (error) => {
      if (error) this.recordSendFailure(address, error);
    });
  }

  /** Counts every datagram that the operating system did not accept, and logs the first. */
  private recordSendFailure(address: string, error: Error): void {
    if (this.counters.valueOf('datagrams', 'not-sent') === 0) {
      this.logger.warn('datagram-not-sent', { peer: address, cause: error.message });
    }
    this.counters.add('datagrams', 'not-sent');
  }
}
