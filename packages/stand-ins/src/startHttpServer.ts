/** Starts an HTTP server on one address and returns what ends it. A limit of 0 connections is none. */
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
