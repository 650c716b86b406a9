/** The whole state of a daemon, for peers that lack it. */
import type { Server } from 'node:http';
import { createServer, get } from 'node:http';
import type { Stop } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';
import type { StateCopy } from './GatewayState.js';

const STATE_PATH = '/state';
/** Longest wait for a peer's state: some round trips between regions and a large configuration. */
const FETCH_MILLISECONDS = 1_000;
const OK_STATUS = 200;

/**
 * Serves the state until the returned function is called.
 *
 * @param address - `ip:port` to listen on
 * @throws CactusrunError when the address cannot be bound
 */
export async function servePeerState(address: string, copyState: () => StateCopy): Promise<Stop> {
  const server = createServer((request, response) => {
    if (request.url === STATE_PATH) response.end(JSON.stringify(copyState()));
    else response.writeHead(404).end();
  });
  await listen(server, address);
  return async () => {
    server.close();
    server.closeAllConnections();
  };
}

/** Binds a server to `ip:port`. */
export async function listen(server: Server, address: string): Promise<void> {
  const [host, port] = address.split(':');
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error) => {
      reject(new CactusrunError(error.message, { step: 'binding', peer: address }));
    });
    server.listen(Number(port), host, resolve);
  });
}

/**
 * Fetches the state of a peer.
 *
 * @throws CactusrunError when the peer does not answer in time or not with a state
 */
export function fetchPeerState(address: string, signal: AbortSignal): Promise<StateCopy> {
  const place = { step: 'fetching state', peer: address };
  return new Promise((resolve, reject) => {
    const fail = (error: Error) => reject(new CactusrunError(error.message, place, error));
    const limit = AbortSignal.any([signal, AbortSignal.timeout(FETCH_MILLISECONDS)]);
    get(`http://${address}${STATE_PATH}`, { agent: false, signal: limit }, (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', fail);
      response.on('end', () => {
        if (response.statusCode !== OK_STATUS) {
          fail(new Error(`status ${response.statusCode}`));
          return;
        }
        try {
          resolve(JSON.parse(Buffer.concat(parts).toString('utf8')) as StateCopy);
        } catch (error) {
          fail(error as Error);
        }
      });
    }).on('error', fail);
  });
}
