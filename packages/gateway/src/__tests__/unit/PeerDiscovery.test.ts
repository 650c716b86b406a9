import type { Stop } from '@cactusrun/core';
import { ManualClock, silentLogger } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import FleetMembers from '../../fleet/FleetMembers.js';
import { startPeerDiscovery } from '../../fleet/PeerDiscovery.js';
import type { GatewayStore } from '../../state/GatewayStore.js';
import createPeerDescription from './createPeerDescription.js';

const CHECKS_MILLISECONDS = 12_000;

describe('startPeerDiscovery', () => {
  let clock: ManualClock;
  let members: FleetMembers;
  let written: (readonly string[])[];
  let store: Pick<GatewayStore, 'readPeers' | 'writePeers'> & { restorations: number };
  let stop: Stop;

  beforeEach(async () => {
    clock = new ManualClock();
    written = [];
    store = {
      restorations: 0,
      readPeers: async () => [],
      writePeers: async (_group, addresses) => {
        written.push(addresses);
      },
    };
    members = new FleetMembers(
      () => createPeerDescription('m'),
      clock,
      silentLogger,
      () => {},
    );
    members.applyDescription(createPeerDescription('n'));
    stop = startPeerDiscovery({
      name: 'm',
      address: 'm:1',
      store: store as GatewayStore,
      members,
      clock,
      logger: silentLogger,
    });
    await clock.advance(CHECKS_MILLISECONDS);
  });

  afterEach(async () => {
    const stopped = stop();
    await clock.advance(CHECKS_MILLISECONDS);
    await stopped;
  });

  it('writes the addresses of the region once while they stay the same', () => {
    expect(written).toEqual([['m:1', 'n:1']]);
  });

  it('writes them again after the store was restored from a copy', async () => {
    store.restorations = 1;
    await clock.advance(CHECKS_MILLISECONDS);
    expect(written).toHaveLength(2);
  });
});

// Daemons of any build write the list; what is no address would be passed on to all peers.
describe('startPeerDiscovery of a daemon that knows no peer', () => {
  it('leaves out what is no address in the list of the store', async () => {
    const clock = new ManualClock();
    const self = () => createPeerDescription('m');
    const members = new FleetMembers(self, clock, silentLogger, () => {});
    const listed = ['127.0.0.1:0', '127.0.0.1:65536', 'x', '', '127.0.0.2:9'];
    const store = { restorations: 0, readPeers: async () => listed, writePeers: async () => {} };
    const stop = startPeerDiscovery({
      name: 'm',
      address: 'm:1',
      store: store as unknown as GatewayStore,
      members,
      clock,
      logger: silentLogger,
    });
    await clock.advance(CHECKS_MILLISECONDS);
    expect(members.knownAddresses()).toEqual([{ address: '127.0.0.2:9' }]);
    const stopped = stop();
    await clock.advance(CHECKS_MILLISECONDS);
    await stopped;
  });
});
