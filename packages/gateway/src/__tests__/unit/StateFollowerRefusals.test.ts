/**
 * Guards against a fleet that overloads the store while its configuration cannot be decoded: no daemon
 * can serve, none counts as the reader of its region, and each reads as fast as the store answers.
 */
import type { Stop } from '@cactusrun/core';
import { CactusrunError, createRandom, ManualClock, silentLogger } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import FleetMembers from '../../fleet/FleetMembers.js';
import type { PeerMessage } from '../../fleet/PeerMessage.js';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import ConfigurationRefusedError from '../../state/ConfigurationRefusedError.js';
import type { GatewayConfiguration } from '../../state/GatewayConfiguration.js';
import GatewayState from '../../state/GatewayState.js';
import StateFollower from '../../state/StateFollower.js';
import TargetTable from '../../state/TargetTable.js';
import MemoryStore from './MemoryStore.js';
import createPeerDescription from './createPeerDescription.js';
import createTargetEntry from './createTargetEntry.js';

/** Documents from this number on are not understood by builds that are not new. */
const FIRST_REFUSED = 900;
const LIMITS = { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 };
const OBSERVED_MILLISECONDS = 42_000;

type Build = 'old' | 'new';

interface TestDaemon {
  readonly state: GatewayState;
  readonly follower: StateFollower;
  readonly members: FleetMembers;
  readonly stop: Stop;
}

function decode(document: string, build: Build): GatewayConfiguration {
  const version = Number(document);
  if (build === 'old' && version >= FIRST_REFUSED) {
    throw new ConfigurationRefusedError('unknown', version, { step: 'decoding' });
  }
  return { version, limits: LIMITS, routes: new Map(), workspaces: undefined };
}

describe('StateFollower, with a configuration that cannot be decoded', () => {
  let clock: ManualClock;
  let store: MemoryStore;
  let daemons: Map<string, TestDaemon>;
  /** Number of fetches of a peer's state. */
  let fetches: number;
  /** Whether daemons hear each other. */
  let isConnected: boolean;

  beforeEach(() => {
    clock = new ManualClock();
    store = new MemoryStore();
    store.log.push({ kind: 'present', entry: createTargetEntry('t') });
    store.document = `${FIRST_REFUSED}`;
    daemons = new Map();
    fetches = 0;
    isConnected = true;
  });

  afterEach(async () => {
    const stopped = Promise.all([...daemons.values()].map(({ stop }) => stop()));
    await clock.advance(10_000);
    await stopped;
  });

  function deliver(addresses: readonly string[], message: PeerMessage): boolean {
    if (message.kind !== 'news' || !isConnected) return true;
    addresses.forEach((address) => daemons.get(address)?.follower.applyUpdate(message));
    return true;
  }

  async function fetchState(address: string) {
    fetches += 1;
    const peer = daemons.get(address);
    if (peer === undefined) throw new CactusrunError('away', { step: 'fetching', peer: address });
    return peer.state.snapshot([]);
  }

  function describeDaemon(name: string) {
    const isComplete = daemons.get(`${name}:1`)?.state.isComplete ?? false;
    return createPeerDescription(name, { state: isComplete ? 'ready' : 'starting' });
  }

  function startDaemon(name: string, build: Build, seed: number): void {
    const members = new FleetMembers(
      () => describeDaemon(name),
      clock,
      silentLogger,
      () => {},
    );
    const table = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
    const decodeFor = (document: string) => decode(document, build);
    const state = new GatewayState(decodeFor, table, clock, silentLogger, () => {});
    const follower = new StateFollower({
      store,
      state,
      members,
      link: { send: deliver },
      fetchState,
      clock,
      random: createRandom(seed),
      logger: silentLogger,
      selfName: name,
      isFleetStart: true,
    });
    daemons.set(`${name}:1`, { state, follower, members, stop: follower.start() });
  }

  function startFleet(count: number, buildOf: (index: number) => Build = () => 'old'): void {
    const names = Array.from({ length: count }, (_, index) => `d${index}`);
    names.forEach((name, index) => startDaemon(name, buildOf(index), index + 1));
    exchangeDescriptions();
  }

  /** Tells each daemon the state of the others. */
  function exchangeDescriptions(): void {
    const names = [...daemons.keys()].map((address) => address.replace(':1', ''));
    names.forEach((name) => {
      const { members } = daemons.get(`${name}:1`)!;
      names
        .filter((other) => other !== name)
        .forEach((other) => members.applyDescription(describeDaemon(other)));
    });
  }

  function versionsInForce(): readonly (number | undefined)[] {
    return [...daemons.values()].map(({ state }) => state.configuration?.version);
  }

  describe('a fleet without any other configuration', () => {
    it('has each document read once by each daemon, and then by one of them', async () => {
      startFleet(24);
      await clock.advance(OBSERVED_MILLISECONDS);
      expect(store.calls).toBeLessThan(4 * 24 + 2 * (OBSERVED_MILLISECONDS / 1_000));
    });

    it('has a corrected configuration within three seconds', async () => {
      startFleet(24);
      await clock.advance(10_000);
      store.document = '7';
      await clock.advance(3_000);
      expect(new Set(versionsInForce())).toEqual(new Set([7]));
    });

    it('is read by the daemon that is left when the others have stopped', async () => {
      startFleet(3);
      await clock.advance(10_000);
      const stopped = ['d0:1', 'd1:1'].map((address) => daemons.get(address)!.stop());
      ['d0:1', 'd1:1'].forEach((address) => daemons.delete(address));
      store.document = '7';
      await clock.advance(8_000);
      await Promise.all(stopped);
      expect(versionsInForce()).toEqual([7]);
    });
  });

  describe('daemons that do not hear each other', () => {
    it('read with growing pauses', async () => {
      isConnected = false;
      startFleet(4);
      await clock.advance(OBSERVED_MILLISECONDS);
      expect(store.calls).toBeLessThan(4 * 1.5 * (OBSERVED_MILLISECONDS / 1_000));
    });

    it('have a corrected configuration within three seconds', async () => {
      isConnected = false;
      startFleet(4);
      await clock.advance(10_000);
      store.document = '7';
      await clock.advance(3_000);
      expect(new Set(versionsInForce())).toEqual(new Set([7]));
    });
  });

  describe('old builds beside new ones that understand it', () => {
    beforeEach(async () => {
      store.document = '5';
      startFleet(12, (index) => (index < 2 ? 'new' : 'old'));
      await clock.advance(3_000);
      exchangeDescriptions();
      store.document = `${FIRST_REFUSED}`;
      await clock.advance(2_000);
    });

    it('keep the configuration in force', () => {
      expect(versionsInForce()).toEqual([
        ...Array.from({ length: 2 }, () => FIRST_REFUSED),
        ...Array.from({ length: 10 }, () => 5),
      ]);
    });

    it('do not read or fetch it again and again', async () => {
      store.calls = 0;
      fetches = 0;
      await clock.advance(OBSERVED_MILLISECONDS);
      expect(store.calls).toBeLessThan(4 * (OBSERVED_MILLISECONDS / 1_000));
      expect(fetches).toBeLessThan(10 * (2 + OBSERVED_MILLISECONDS / 10_000));
    });

    it('have the next configuration that they understand within three seconds', async () => {
      await clock.advance(20_000);
      // Positions of this store are versions; a new build takes only later ones.
      [...daemons.keys()].slice(0, 2).forEach((address) => daemons.get(address)!.stop());
      store.document = '8';
      await clock.advance(3_000);
      expect(versionsInForce().slice(2)).toEqual(Array.from({ length: 10 }, () => 8));
    });
  });
});
