/** Starts an HTTP server on one address and returns what ends it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Stop } from '@cactusrun/core';

export default async function startHttpServer(
  address: string,
  handler: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<Stop> {
  const [ip, port] = address.split(':');
  const server = createServer(handler);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), ip, resolve);
  });
  return () =>
    new Promise((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
}
