/**
 * Tells an orderly end of a connection from a reset. Node reports the end of the stream for both when
 * the last bytes and the reset are read together. A connection that was reset has no peer any more: its
 * remote address is gone when the end is reported, before the socket closes.
 */
import { Socket } from 'node:net';
import { invariant } from '@cactusrun/core';

invariant('remoteAddress' in Socket.prototype, 'Node does not tell remote addresses of sockets');

/**
 * Watches a connection whose remote address was not read before: Node keeps the first result.
 *
 * @returns a function that tells whether the connection has ended, and ended orderly
 */
export default function watchForOrderlyEnd(socket: Socket): () => boolean {
  let hasEndedOrderly = false;
  // Ahead of the listeners of Node's client, which end the answer.
  socket.prependOnceListener('end', () => {
    hasEndedOrderly = socket.remoteAddress !== undefined;
  });
  return () => hasEndedOrderly;
}
