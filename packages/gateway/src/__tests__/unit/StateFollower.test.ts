import type { Stop } from '@cactusrun/core';
import { createRandom, ManualClock, silentLogger } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import FleetMembers from '../../fleet/FleetMembers.js';
import type { GatewayConfiguration } from '../../state/GatewayConfiguration.js';
import type { StateSnapshot } from '../../state/GatewayState.js';
import GatewayState from '../../state/GatewayState.js';
import type { PeerMessage } from '../../fleet/PeerMessage.js';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import StateFollower from '../../state/StateFollower.js';
import type { TargetChange, TargetEntry } from '../../state/TargetEntry.js';
import TargetTable from '../../state/TargetTable.js';
import MemoryStore, { POSITIONS_PER_RESTORATION } from './MemoryStore.js';
import createPeerDescription from './createPeerDescription.js';
import createTargetEntry from './createTargetEntry.js';

function createEntry(id: string, isLeaving = false): TargetEntry {
  return createTargetEntry(id, { isLeaving });
}

function decode(document: string): GatewayConfiguration {
  const limits = { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 };
  return { version: Number(document), limits, routes: new Map(), workspaces: undefined };
}

describe('StateFollower', () => {
  let clock: ManualClock;
  let store: MemoryStore;
  let members: FleetMembers;
  let state: GatewayState;
  let table: TargetTable;
  let sent: PeerMessage[];
  let follower: StateFollower;
  let stop: Stop;
  let fetchState: (address: string) => Promise<StateSnapshot>;
  /** Passes a message to a second daemon, if the test has one. */
  let deliverToPeer: (message: PeerMessage) => boolean;

  function createFollower(isFleetStart: boolean): StateFollower {
    return new StateFollower({
      store,
      state,
      members,
      link: {
        send: (_addresses, message) => {
          sent.push(message);
          return deliverToPeer(message);
        },
      },
      fetchState: (address) => fetchState(address),
      clock,
      random: createRandom(1),
      logger: silentLogger,
      selfName: 'm',
      isFleetStart,
    });
  }

  beforeEach(() => {
    clock = new ManualClock();
    store = new MemoryStore();
    store.log.push({ kind: 'present', entry: createEntry('t') });
    sent = [];
    const self = () => createPeerDescription('m');
    members = new FleetMembers(self, clock, silentLogger, () => {});
    table = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
    state = new GatewayState(decode, table, clock, silentLogger, () => {});
    fetchState = () => new Promise(() => {});
    deliverToPeer = () => true;
    follower = createFollower(false);
    stop = follower.start();
  });

  afterEach(async () => {
    const stopped = stop();
    await clock.advance(10_000);
    await stopped;
  });

  function receiveUpdate(sender: string, configuration: number, targets: number): void {
    members.applyDescription(createPeerDescription(sender));
    const versions = { configuration, targets, ageMilliseconds: 0 };
    follower.applyUpdate({ kind: 'news', sender, versions, after: -1, changes: [] });
  }

  /** Advances the clock while an update of another daemon arrives every half a second. */
  async function advanceWithUpdates(milliseconds: number): Promise<void> {
    const steps = Array.from({ length: milliseconds / 500 });
    await steps.reduce<Promise<void>>(async (before) => {
      await before;
      receiveUpdate('a', Number(store.document), store.log.length);
      await clock.advance(500);
    }, Promise.resolve());
  }

  describe('the first of its region', () => {
    it('reads the store and announces the changes', async () => {
      await clock.advance(100);
      store.log.push({ kind: 'present', entry: createEntry('t', true) });
      await clock.advance(1_000);
      expect(state.configuration?.version).toBe(1);
      expect(table.get('t')?.entry.isLeaving).toBe(true);
      const announced = sent.flatMap((message) => (message.kind === 'news' ? message.changes : []));
      expect(announced).toContainEqual({ kind: 'present', entry: createEntry('t', true) });
    });
  });

  describe('a target whose entry lapsed and returned between two reads', () => {
    it('is not lost by a daemon that saw the lapse and gets the rest from a peer', async () => {
      await clock.advance(100);
      const seenByPeer = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
      seenByPeer.replace(table.list());
      store.log.push({ kind: 'removed', id: 't' });
      store.log.push({ kind: 'present', entry: { ...createEntry('t'), sequence: 2 } });
      await clock.advance(1_000);
      const changes = sent.flatMap((message) => (message.kind === 'news' ? message.changes : []));
      seenByPeer.apply(changes);
      const sawLapse = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
      sawLapse.apply([
        { kind: 'present', entry: createEntry('t') },
        { kind: 'removed', id: 't' },
      ]);
      sawLapse.replace(seenByPeer.list());
      expect(sawLapse.usable('s')).toHaveLength(1);
    });
  });

  describe('a daemon of a fleet that starts as a whole', () => {
    beforeEach(async () => {
      await stop();
      store.calls = 0;
      state = new GatewayState(decode, table, clock, silentLogger, () => {});
      follower = createFollower(true);
      stop = follower.start();
    });

    it('does not call the store when an update of a peer arrives soon', async () => {
      fetchState = async () => ({
        document: store.document,
        targets: [createEntry('t')],
        versions: { configuration: 1, targets: 1, ageMilliseconds: 0 },
        peers: [],
      });
      receiveUpdate('a', 1, 1);
      await advanceWithUpdates(1_500);
      expect(state.isComplete).toBe(true);
      expect(store.calls).toBe(0);
    });

    it('reads by itself when no update arrives', async () => {
      await clock.advance(1_600);
      expect(state.isComplete).toBe(true);
    });
  });

  describe('the last of its region, when no updates arrive', () => {
    it('has a new configuration within two and a half seconds', async () => {
      await clock.advance(100);
      const names = Array.from({ length: 20 }, (_, index) => `a${index}`);
      names.forEach((name) => members.applyDescription(createPeerDescription(name)));
      // Ends the long poll that began while the daemon was the first of its region.
      store.document = '2';
      await clock.advance(0);
      receiveUpdate('a0', 2, 1);
      await clock.advance(100);
      store.document = '3';
      await clock.advance(2_400);
      expect(state.configuration?.version).toBe(3);
    });
  });

  describe('the first of its region, when answers to long polls are lost', () => {
    it('has a new configuration within two and a half seconds', async () => {
      await clock.advance(100);
      store.losesAnswers = true;
      // The long poll in progress is answered; the next one is not.
      store.document = '2';
      await clock.advance(100);
      store.document = '3';
      await clock.advance(2_400);
      expect(state.configuration?.version).toBe(3);
    });
  });

  describe('a daemon that is not the first of its region', () => {
    it('does not call the store while updates arrive', async () => {
      await clock.advance(100);
      receiveUpdate('a', 1, 1);
      const before = store.calls;
      await advanceWithUpdates(10_000);
      expect(store.calls - before).toBeLessThanOrEqual(2);
    });

    it('reads by itself soon after the updates stop', async () => {
      await clock.advance(100);
      await advanceWithUpdates(2_000);
      store.log.push({ kind: 'present', entry: createEntry('u') });
      await clock.advance(2_500);
      expect(table.get('u')).toBeDefined();
    });

    it('reads each new configuration when it is cut off from its peers', async () => {
      await clock.advance(100);
      await advanceWithUpdates(2_000);
      await clock.advance(3_000);
      store.document = '2';
      await clock.advance(2_000);
      expect(state.configuration?.version).toBe(2);
      store.document = '3';
      await clock.advance(2_000);
      expect(state.configuration?.version).toBe(3);
    });

    it('reads by itself when a peer announces a newer configuration and does not provide it', async () => {
      await clock.advance(100);
      await advanceWithUpdates(2_000);
      store.document = '2';
      await advanceWithUpdates(2_000);
      expect(state.configuration?.version).toBe(2);
    });

    it('fetches the state of a second peer while the first one hangs', async () => {
      await clock.advance(100);
      await advanceWithUpdates(1_000);
      store.isDown = true;
      fetchState = (address) =>
        address === 'a:1'
          ? new Promise(() => {})
          : Promise.resolve({
              document: '2',
              targets: [createEntry('t')],
              versions: { configuration: 2, targets: 1, ageMilliseconds: 0 },
              peers: [],
            });
      receiveUpdate('a', 2, 1);
      await clock.advance(300);
      receiveUpdate('b', 2, 1);
      await clock.advance(100);
      expect(state.configuration?.version).toBe(2);
    });
  });

  describe('a store that was unavailable', () => {
    it('leaves the known targets in use while expired entries are registered again', async () => {
      await clock.advance(100);
      store.isDown = true;
      await clock.advance(8_000);
      expect(table.usable('s')).toHaveLength(1);
      store.log.push({ kind: 'removed', id: 't' });
      store.isDown = false;
      await clock.advance(2_200);
      expect(table.usable('s')).toHaveLength(1);
      store.log.push({ kind: 'present', entry: createEntry('t') });
      await clock.advance(4_000);
      expect(table.usable('s')).toHaveLength(1);
    });

    it('loses an entry that is not registered again', async () => {
      await clock.advance(100);
      store.isDown = true;
      await clock.advance(8_000);
      store.log.push({ kind: 'removed', id: 't' });
      store.isDown = false;
      await clock.advance(6_000);
      expect(table.usable('s')).toHaveLength(0);
    });
  });

  describe('two daemons that read the store after an outage', () => {
    let peerTable: TargetTable;
    let peer: StateFollower;
    let stopPeer: Stop;

    beforeEach(async () => {
      peerTable = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
      const peerState = new GatewayState(decode, peerTable, clock, silentLogger, () => {});
      const peerMembers = new FleetMembers(
        () => createPeerDescription('n'),
        clock,
        silentLogger,
        () => {},
      );
      peer = new StateFollower({
        store,
        state: peerState,
        members: peerMembers,
        link: { send: (_addresses, message) => deliver(message, follower) },
        fetchState: (address) => fetchState(address),
        clock,
        random: createRandom(2),
        logger: silentLogger,
        selfName: 'n',
        isFleetStart: false,
      });
      deliverToPeer = (message) => deliver(message, peer);
      members.applyDescription(createPeerDescription('n'));
      peerMembers.applyDescription(createPeerDescription('m'));
      fetchState = async (address) => (address === 'm:1' ? state : peerState).snapshot([]);
      stopPeer = peer.start();
      await clock.advance(2_000);
    });

    afterEach(async () => {
      const stopped = stopPeer();
      await clock.advance(10_000);
      await stopped;
    });

    function deliver(message: PeerMessage, receiver: StateFollower): boolean {
      if (message.kind === 'news') receiver.applyUpdate(message);
      return true;
    }

    it('both leave a target in use while its expired entry is registered again', async () => {
      store.isDown = true;
      await clock.advance(8_000);
      store.log.push({ kind: 'removed', id: 't' });
      store.isDown = false;
      await clock.advance(1_900);
      expect([table, peerTable].map((each) => each.usable('s').length)).toEqual([1, 1]);
      store.log.push({ kind: 'present', entry: { ...createEntry('t'), sequence: 2 } });
      await clock.advance(8_000);
      expect([table, peerTable].map((each) => each.usable('s').length)).toEqual([1, 1]);
    });

    it('both lose a target that is not registered again', async () => {
      store.isDown = true;
      await clock.advance(8_000);
      store.log.push({ kind: 'removed', id: 't' });
      store.isDown = false;
      await clock.advance(10_000);
      expect([table, peerTable].map((each) => each.usable('s').length)).toEqual([0, 0]);
    });
  });

  describe('a store that fails the read of the whole registry after an outage', () => {
    it('keeps a target that was registered again before', async () => {
      await clock.advance(100);
      store.isDown = true;
      await clock.advance(8_000);
      store.log.push({ kind: 'removed', id: 't' });
      store.log.push({ kind: 'present', entry: { ...createEntry('t'), sequence: 2 } });
      store.isDown = false;
      store.failingWholeReads = 1;
      await clock.advance(8_000);
      expect(table.usable('s')).toHaveLength(1);
    });

    it('loses an entry that was removed before all the same', async () => {
      await clock.advance(100);
      store.isDown = true;
      await clock.advance(8_000);
      store.log.push({ kind: 'removed', id: 't' });
      store.isDown = false;
      store.failingWholeReads = 1;
      await clock.advance(8_000);
      expect(table.usable('s')).toHaveLength(0);
    });
  });

  describe('a store that was restored from a copy', () => {
    const COPY: readonly TargetChange[] = [{ kind: 'present', entry: createEntry('t') }];

    beforeEach(async () => {
      await clock.advance(100);
      store.log.push({ kind: 'present', entry: createEntry('u') });
      store.log.push({ kind: 'present', entry: createEntry('v') });
      await clock.advance(1_000);
      store.restore(COPY);
    });

    it('leaves the known targets in use while they write their entries again', async () => {
      await clock.advance(1_500);
      expect(table.usable('s')).toHaveLength(3);
      store.log.push({ kind: 'present', entry: createEntry('u') });
      await clock.advance(3_000);
      expect(table.usable('s').map(({ entry }) => entry.id)).toEqual(['t', 'u']);
    });

    it('has its further changes applied, though their positions were used before', async () => {
      store.log.push({ kind: 'present', entry: { ...createEntry('t', true), sequence: 2 } });
      await clock.advance(4_000);
      expect(table.get('t')?.entry.isLeaving).toBe(true);
      store.log.push({ kind: 'present', entry: createEntry('w') });
      await clock.advance(1_000);
      expect(table.get('w')).toBeDefined();
    });

    it('is read again by the next reader if this one stops before all entries are back', async () => {
      await clock.advance(1_500);
      const announced = sent.flatMap((message) => (message.kind === 'news' ? [message] : []));
      const before = announced.at(-1)!.versions.targets;
      expect(before).toBeLessThan(POSITIONS_PER_RESTORATION);
      await clock.advance(3_000);
      expect(state.position).toBeGreaterThan(POSITIONS_PER_RESTORATION);
    });
  });

  describe('a configuration', () => {
    it('is never replaced by an older version', async () => {
      state.applyDocument('5', 'peer');
      await clock.advance(20_000);
      state.applyDocument('4', 'peer');
      expect(state.configuration?.version).toBe(5);
    });
  });
});
