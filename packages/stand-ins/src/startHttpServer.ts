/** Starts an HTTP server; the returned function stops it. `maximumConnections` 0 means no limit. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Stop } from '@cactusrun/core';

export default async function startHttpServer(
  address: string,
  handler: (request: IncomingMessage, response: ServerResponse) => void,
  maximumConnections = 0,
): Promise<Stop> {
  const [ip, port] = address.split(':');
  const server = createServer(handler);
  if (maximumConnections > 0) server.maxConnections = maximumConnections;
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
