/** Binds servers, and keeps them alive when a connection cannot be accepted. */
import type { Server } from 'node:net';
import type { Counters } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';

const LISTEN_BACKLOG = 1_024;

/**
 * Binds a server to `ip:port`. A connection that it cannot accept afterwards is counted.
 *
 * @throws CactusrunError when the address cannot be bound
 */
export default async function listen(
  server: Server,
  address: string,
  counters?: Counters,
): Promise<void> {
  const [host, port] = address.split(':');
  await new Promise<void>((resolve, reject) => {
    server.on('error', (error) => {
      if (server.listening) counters?.add('servers', 'accept-failed');
      reject(new CactusrunError(error.message, { step: 'binding', peer: address }));
    });
    server.listen({ host, port: Number(port), backlog: LISTEN_BACKLOG }, resolve);
  });
}
