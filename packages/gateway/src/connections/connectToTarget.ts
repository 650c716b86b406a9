/** How TCP connections to targets are opened; passed in, so that tests can cut a daemon off. */
import type { Socket } from 'node:net';
import { connect } from 'node:net';

/** Returns a socket that is connecting; its events tell what comes of it. */
export type ConnectToTarget = (host: string, port: number) => Socket;

export const connectToTarget: ConnectToTarget = (host, port) =>
  connect({ host, port, noDelay: true });
