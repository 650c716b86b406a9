import { get } from 'node:http';
import type { Stop } from '@cactusrun/core';
import { Counters, ManualClock } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { StateSnapshot } from '../../state/GatewayState.js';
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
