/** The transport interface of the membership protocol, and its UDP implementation. */
import { createSocket } from 'node:dgram';
import type { Stop } from '@cactusrun/core';
import { CactusrunError, parseAddress } from '@cactusrun/core';
import type { MemberMessage } from '@cactusrun/protocol';
import { fromBinary, MemberMessageSchema, toBinary } from '@cactusrun/protocol';

export interface MemberTransport {
  /** Sends without a delivery guarantee. The address is `ip:port`; nothing is sent to any other. */
  send(address: string, message: MemberMessage): void;
  /** Calls the listener with each received message. */
  listen(listener: (message: MemberMessage) => void): void;
}

export interface UdpTransport extends MemberTransport {
  readonly stop: Stop;
}

/** Counts sent and received bytes, and errors. */
export interface TransportCounters {
  add(name: string, reason: string, amount?: number): void;
}

/**
 * Opens the heartbeat socket.
 *
 * @param address - `ip:port` to bind
 * @param translate - maps a member's address to the one that reaches it from this host
 * @throws CactusrunError when the address cannot be bound
 */
export async function openUdpTransport(
  address: string,
  translate: (address: string) => string,
  counters: TransportCounters,
): Promise<UdpTransport> {
  const own = parseAddress(address);
  const context = { step: 'binding heartbeats', peer: address };
  if (own === undefined) throw new CactusrunError('not an address', context);
  const socket = createSocket('udp4');
  await new Promise<void>((resolve, reject) => {
    socket.once('error', (error) => reject(new CactusrunError(error.message, context)));
    socket.bind(own.port, own.host, resolve);
  });
  socket.removeAllListeners('error');
  socket.on('error', () => counters.add('heartbeat_errors', 'socket'));
  return {
    send: (to, message) => {
      const peer = parseAddress(translate(to));
      if (peer === undefined) {
        counters.add('heartbeat_errors', 'no-address');
        return;
      }
      const bytes = toBinary(MemberMessageSchema, message);
      counters.add('heartbeat_bytes', 'sent', bytes.length);
      socket.send(bytes, peer.port, peer.host, (error) => {
        if (error !== null) counters.add('heartbeat_errors', 'send');
      });
    },
    listen: (listener) => {
      socket.on('message', (bytes) => {
        counters.add('heartbeat_bytes', 'received', bytes.length);
        const message = decode(bytes);
        if (message === undefined) counters.add('heartbeat_errors', 'unreadable');
        else listener(message);
      });
    },
    stop: () =>
      new Promise((resolve) => {
        socket.close(() => resolve());
      }),
  };
}

function decode(bytes: Uint8Array): MemberMessage | undefined {
  try {
    return fromBinary(MemberMessageSchema, bytes);
  } catch {
    return undefined;
  }
}
