/** Serves the compressed state of a daemon to peers that lack it, and fetches theirs. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer, get } from 'node:http';
import { promisify } from 'node:util';
import { constants, gunzip, gzip } from 'node:zlib';
import type { Clock, Counters, Stop } from '@cactusrun/core';
import { CactusrunError, describeError } from '@cactusrun/core';
import decodeStateSnapshot from './decodeStateSnapshot.js';
import listen from '../listen.js';
import type { StateSnapshot } from './GatewayState.js';

const compress = promisify(gzip);
const decompress = promisify(gunzip);

const STATE_PATH = '/state';
/** Longest wait for a peer's state: a few round trips between regions and a large configuration. */
const FETCH_TIMEOUT_MILLISECONDS = 1_000;
/** Fetches within this time get the same bytes: after an update many peers fetch at once. */
const SNAPSHOT_REUSE_MILLISECONDS = 50;
/** A compressed or whole state beyond this is none: a large fleet's takes some megabytes. */
const MAXIMUM_STATE_BYTES = 64 * 1024 * 1024;
const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;

/** Compresses the state once for all peers that fetch it at about the same time. */
class CompressedSnapshot {
  private bytes: Promise<Buffer> | undefined;

  private takenAt = Number.NEGATIVE_INFINITY;

  private versions = '';

  constructor(
    private readonly takeSnapshot: () => StateSnapshot,
    private readonly clock: Clock,
  ) {}

  public async read(): Promise<Buffer> {
    const snapshot = this.takeSnapshot();
    const versions = `${snapshot.versions.configuration}/${snapshot.versions.targets}`;
    const isRecent = this.clock.now() - this.takenAt < SNAPSHOT_REUSE_MILLISECONDS;
    if (this.bytes !== undefined && isRecent && versions === this.versions) return this.bytes;
    this.versions = versions;
    this.takenAt = this.clock.now();
    this.bytes = compress(JSON.stringify(snapshot), { level: constants.Z_BEST_SPEED });
    return this.bytes;
  }
}

/**
 * Serves the state until the returned function is called.
 *
 * @param address - `ip:port` to listen on
 * @throws CactusrunError when the address cannot be bound
 */
export async function servePeerState(
  address: string,
  takeSnapshot: () => StateSnapshot,
  clock: Clock,
  counters: Counters,
): Promise<Stop> {
  const state = new CompressedSnapshot(takeSnapshot, clock);
  const answer = async (response: ServerResponse) => {
    const bytes = await state.read();
    counters.add('state_copies', 'served');
    response.writeHead(OK_STATUS, { 'content-length': bytes.length }).end(bytes);
  };
  const server = createServer((request, response) => {
    if (request.url === STATE_PATH) answer(response).catch(() => response.destroy());
    else response.writeHead(NOT_FOUND_STATUS).end();
  });
  await listen(server, address, counters);
  return async () => {
    server.close();
    server.closeAllConnections();
  };
}

/**
 * Fetches the state of a peer.
 *
 * @throws CactusrunError when the peer does not answer in time or its answer is not a state
 */
export async function fetchPeerState(address: string, signal: AbortSignal): Promise<StateSnapshot> {
  try {
    const bytes = await fetchBytes(address, signal);
    const text = await decompress(bytes, { maxOutputLength: MAXIMUM_STATE_BYTES });
    const snapshot = decodeStateSnapshot(JSON.parse(text.toString('utf8')));
    if (snapshot === undefined) throw new Error('the answer is not a state');
    return snapshot;
  } catch (error) {
    throw new CactusrunError(
      describeError(error),
      { step: 'fetching state', peer: address },
      error,
    );
  }
}

function fetchBytes(address: string, signal: AbortSignal): Promise<Buffer> {
  const eitherSignal = AbortSignal.any([signal, AbortSignal.timeout(FETCH_TIMEOUT_MILLISECONDS)]);
  return new Promise((resolve, reject) => {
    const receive = (response: IncomingMessage) => {
      const chunks: Buffer[] = [];
      let size = 0;
      response.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size > MAXIMUM_STATE_BYTES) response.destroy(new Error('the state is too large'));
        else chunks.push(chunk);
      });
      response.on('error', reject);
      response.on('end', () => {
        if (response.statusCode === OK_STATUS) resolve(Buffer.concat(chunks));
        else reject(new Error(`status ${response.statusCode}`));
      });
    };
    const url = `http://${address}${STATE_PATH}`;
    const request = get(url, { agent: false, signal: eitherSignal }, receive);
    request.on('error', reject);
    // Without a listener, such an answer ends the connection without an error.
    request.on('upgrade', (_, socket) => {
      socket.destroy();
      reject(new Error('the peer asks for another protocol'));
    });
  });
}
