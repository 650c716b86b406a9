/** The transport interface of the membership protocol, and its UDP implementation. */
import { createSocket } from 'node:dgram';
import type { Stop } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';
import type { MemberMessage } from '@cactusrun/protocol';
import { fromBinary, MemberMessageSchema, toBinary } from '@cactusrun/protocol';

export interface MemberTransport {
  /** Sends without a delivery guarantee. The address is `ip:port`. */
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

function splitAddress(address: string): { readonly ip: string; readonly port: number } {
  const [ip = '', port = ''] = address.split(':');
  return { ip, port: Number(port) };
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
  const socket = createSocket('udp4');
  const { ip, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    socket.once('error', (error) => {
      reject(new CactusrunError(error.message, { step: 'binding heartbeats', peer: address }));
    });
    socket.bind(port, ip, resolve);
  });
  socket.removeAllListeners('error');
  socket.on('error', () => counters.add('heartbeat_errors', 'socket'));
  return {
    send: (to, message) => {
      const peer = splitAddress(translate(to));
      const bytes = toBinary(MemberMessageSchema, message);
      counters.add('heartbeat_bytes', 'sent', bytes.length);
      socket.send(bytes, peer.port, peer.ip, (error) => {
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
