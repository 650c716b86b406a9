/** How TCP connections are opened; passed in where a test cuts a daemon off from targets. */
import type { Socket } from 'node:net';
import { connect } from 'node:net';

/** Connection timeout: a few round trips, less than the retransmission of a lost packet takes. */
export const CONNECT_TIMEOUT_MILLISECONDS = 150;

/** Returns a socket that is connecting; its events tell what comes of it. */
export type OpenConnection = (host: string, port: number) => Socket;

export const openConnection: OpenConnection = (host, port) =>
  connect({ host, port, noDelay: true });
