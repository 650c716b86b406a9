/** How TCP connections are opened; passed in where a test cuts a daemon off from targets. */
import { connect, Socket } from 'node:net';

/** Connection timeout: a few round trips, less than the retransmission of a lost packet takes. */
export const CONNECT_TIMEOUT_MILLISECONDS = 150;

/** Returns a socket that is connecting; its events tell what comes of it. */
export type OpenConnection = (host: string, port: number) => Socket;

export const openConnection: OpenConnection = (host, port) =>
  connect({ host, port, noDelay: true });

/**
 * Opens a connection to an address that another process wrote. Node throws on some addresses, such as
 * one whose port is out of range; here each failure is an `error` event of the socket.
 *
 * @param address - `ip:port`
 */
export function openAddress(open: OpenConnection, address: string): Socket {
  const [host, port] = address.split(':');
  try {
    return open(host ?? '', Number(port));
  } catch (error) {
    const socket = new Socket();
    process.nextTick(() => socket.destroy(error as Error));
    return socket;
  }
}
