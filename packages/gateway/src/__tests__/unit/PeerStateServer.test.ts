import { get } from 'node:http';
import type { Stop } from '@cactusrun/core';
import { Counters, ManualClock } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { StateCopy } from '../../GatewayState.js';
import { fetchPeerState, servePeerState } from '../../PeerStateServer.js';

const ADDRESS = '127.0.7.21:17560';
const ROUTES = 400;

function createCopy(configuration: number): StateCopy {
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
  let copy: StateCopy;
  let stop: Stop;

  beforeEach(async () => {
    clock = new ManualClock();
    copy = createCopy(3);
    stop = await servePeerState(ADDRESS, () => copy, clock, new Counters());
  });

  afterEach(async () => {
    await stop();
  });

  function fetchCopy(): Promise<StateCopy> {
    return fetchPeerState(ADDRESS, new AbortController().signal);
  }

  it('hands over the whole state', async () => {
    expect(await fetchCopy()).toEqual(copy);
  });

  it('hands over the newest state at once', async () => {
    await fetchCopy();
    copy = createCopy(4);
    expect((await fetchCopy()).versions.configuration).toBe(4);
  });

  it('costs a tenth of the bytes of a large configuration', async () => {
    expect(await countBytes()).toBeLessThan(JSON.stringify(copy).length / 10);
  });

  it('tells who could not be reached', async () => {
    await stop();
    await expect(fetchCopy()).rejects.toMatchObject({ step: 'fetching state', peer: ADDRESS });
  });
});
