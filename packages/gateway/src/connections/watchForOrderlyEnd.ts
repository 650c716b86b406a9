/**
 * Tells an orderly end of a connection from a reset. Node 20 and 22 report the end of the stream for
 * both when the last bytes and the reset are read together. Two things tell them apart when the end is
 * reported, before the socket closes, and each suffices without the other: a connection that was reset
 * has no remote address any more, and fails each write, also an empty one.
 */
import { Socket } from 'node:net';
import { invariant } from '@cactusrun/core';

invariant('remoteAddress' in Socket.prototype, 'Node does not tell remote addresses of sockets');
invariant('errored' in Socket.prototype, 'Node does not tell errors of sockets');

const NO_BYTES = Buffer.alloc(0);

/** @returns a function that tells whether the connection has ended, and ended orderly */
export default function watchForOrderlyEnd(socket: Socket): () => boolean {
  let hasEndedOrderly = false;
  // Ahead of the listeners of Node's client, which end the answer, and of Node's own, which end writing.
  socket.prependOnceListener('end', () => {
    hasEndedOrderly = hasRemoteAddress(socket) && takesWrites(socket);
  });
  return () => hasEndedOrderly;
}

/** Node keeps the address if it was read while the connection was open. */
function hasRemoteAddress(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}

/** An empty write sends nothing. It waits if others do, and then tells nothing. */
function takesWrites(socket: Socket): boolean {
  socket.write(NO_BYTES);
  return socket.errored === null;
}
