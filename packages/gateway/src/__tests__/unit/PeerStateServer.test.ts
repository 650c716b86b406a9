import type { Server } from 'node:http';
import { createServer, get } from 'node:http';
import { gzipSync } from 'node:zlib';
import type { Stop } from '@cactusrun/core';
import { Counters, ManualClock } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { StateSnapshot } from '../../state/GatewayState.js';
import listen from '../../listen.js';
import { fetchPeerState, servePeerState } from '../../state/PeerStateServer.js';

const ADDRESS = '127.0.7.21:17560';
const ROUTES = 400;

function createSnapshot(configuration: number): StateSnapshot {
  const rules = Array.from({ length: ROUTES }, (_, index) => ({
    name: `route-${index}`,
    kind: 'idempotent',
    match: { path_prefix: `/prefix${index}/` },
    action: { service: 's', timeout_ms: 2_000, max_attempts: 2 },
  }));
  return {
    document: JSON.stringify({ version: configuration, rules }),
    targets: [],
    versions: { configuration, targets: 4, ageMilliseconds: 20 },
    peers: [{ address: '127.0.0.1:1', region: 'r' }],
  };
}

function countBytes(): Promise<number> {
  return new Promise((resolve, reject) => {
    get(`http://${ADDRESS}/state`, { agent: false }, (response) => {
      response.resume();
      response.on('end', () => resolve(Number(response.headers['content-length'])));
    }).on('error', reject);
  });
}

describe('PeerStateServer', () => {
  let clock: ManualClock;
  let snapshot: StateSnapshot;
  let stop: Stop;

  beforeEach(async () => {
    clock = new ManualClock();
    snapshot = createSnapshot(3);
    stop = await servePeerState(ADDRESS, () => snapshot, clock, new Counters());
  });

  afterEach(async () => {
    await stop();
  });

  function fetchSnapshot(): Promise<StateSnapshot> {
    return fetchPeerState(ADDRESS, new AbortController().signal);
  }

  it('serves the whole state', async () => {
    expect(await fetchSnapshot()).toEqual(snapshot);
  });

  it('serves the newest state at once', async () => {
    await fetchSnapshot();
    snapshot = createSnapshot(4);
    expect((await fetchSnapshot()).versions.configuration).toBe(4);
  });

  it('compresses a large configuration to under a tenth of its size', async () => {
    expect(await countBytes()).toBeLessThan(JSON.stringify(snapshot).length / 10);
  });

  it('names the peer that could not be reached', async () => {
    await stop();
    await expect(fetchSnapshot()).rejects.toMatchObject({ step: 'fetching state', peer: ADDRESS });
  });
});

const ODD_ADDRESS = '127.0.7.21:17561';
const ENTRY = {
  id: 't',
  address: '127.0.0.9:80',
  service: 's',
  zone: 'z',
  slots: 2,
  isLeaving: false,
  coldMilliseconds: 0,
  bornAt: 5,
  sequence: 1,
};

// A faulty peer, or one of another build, may send a state of any shape.
describe('fetchPeerState from a peer with an odd state', () => {
  const sound = { ...createSnapshot(3), targets: [ENTRY] };
  let server: Server;
  let bytes: Buffer;

  beforeEach(async () => {
    server = createServer((_, response) => response.end(bytes));
    await listen(server, ODD_ADDRESS);
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  function fetchOdd(state: unknown): Promise<StateSnapshot> {
    bytes = gzipSync(JSON.stringify(state));
    return fetchPeerState(ODD_ADDRESS, new AbortController().signal);
  }

  describe('refuses', () => {
    const odd: readonly unknown[] = [
      null,
      [],
      7,
      {},
      { ...sound, document: {} },
      { ...sound, targets: {} },
      { ...sound, peers: undefined },
      { ...sound, versions: undefined },
      { ...sound, versions: { ...sound.versions, targets: 1e300 } },
      { ...sound, versions: { ...sound.versions, configuration: 'x' } },
      { ...sound, versions: { ...sound.versions, ageMilliseconds: -1 } },
    ];
    odd.forEach((state, index) => {
      it(`case ${index}: ${JSON.stringify(state).slice(0, 40)}`, async () => {
        await expect(fetchOdd(state)).rejects.toMatchObject({ step: 'fetching state' });
      });
    });
  });

  it('leaves out the entries and addresses that are none, and fields of later versions', async () => {
    const targets = [
      null,
      { ...ENTRY, id: 'u', address: '127.0.0.9:99999' },
      { ...ENTRY, id: 'v', slots: 0 },
      { ...ENTRY, id: 7 },
      { ...ENTRY, later: {} },
    ];
    const peers = [null, { address: '127.0.0.1:0' }, { address: 7 }, ...sound.peers];
    expect(await fetchOdd({ ...sound, targets, peers, later: 1 })).toEqual(sound);
  });

  // A fetch without an end counts as one of the few that may run at a time.
  it('fails when the peer asks for another protocol', async () => {
    server.on('connection', (socket) => {
      socket.end('HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n');
    });
    await expect(fetchOdd(sound)).rejects.toMatchObject({ step: 'fetching state' });
  });

  it('refuses a state that is much larger than any', async () => {
    const fetching = fetchOdd({ ...sound, document: 'x'.repeat(70_000_000) });
    const step = await fetching.then(
      () => 'fetched',
      (error: { step: string }) => error.step,
    );
    expect(step).toBe('fetching state');
  });
});
