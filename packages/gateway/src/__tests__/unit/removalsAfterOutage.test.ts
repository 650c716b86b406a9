/**
 * Guards against removals that are lost, or applied too early, when a daemon takes over the state of a
 * peer that still holds them back after an outage of the store.
 */
import type { Stop } from '@cactusrun/core';
import { ManualClock, mergeStops } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { TargetChange } from '../../state/TargetEntry.js';
import FollowerFixture from './FollowerFixture.js';
import createTargetEntry from './createTargetEntry.js';

/** Time after its return in which the store may be found out to be back and expired entries return. */
const LATEST_REMOVAL_MILLISECONDS = 4_000;
/** The same for a daemon that no peer tells. */
const LATEST_ALONE_MILLISECONDS = 3_550;
const CALL_TIMEOUT_MILLISECONDS = 1_500;

describe('removals after an outage of the store', () => {
  let clock: ManualClock;
  let log: TargetChange[];
  let daemon: FollowerFixture;
  let peer: FollowerFixture;
  let stop: Stop;

  beforeEach(async () => {
    clock = new ManualClock();
    log = [{ kind: 'present', entry: createTargetEntry('t') }];
    daemon = new FollowerFixture('m', log, clock);
    peer = new FollowerFixture('n', log, clock);
    daemon.meet(peer);
    stop = mergeStops([daemon.start(), peer.start()]);
    await clock.advance(3_000);
  });

  afterEach(async () => {
    const stopped = stop();
    await clock.advance(10_000);
    await stopped;
  });

  function setStoresDown(isDown: boolean): void {
    daemon.store.isDown = isDown;
    peer.store.isDown = isDown;
  }

  function usableTargets({ table }: FollowerFixture): readonly string[] {
    return table.usable('s').map(({ entry }) => entry.id);
  }

  describe('of a daemon that takes over the state of a peer that has read the store', () => {
    beforeEach(async () => {
      daemon.stateSource = peer;
      log.push({ kind: 'removed', id: 't' });
      setStoresDown(true);
      await clock.advance(6_000);
      peer.store.isDown = false;
      await peer.untilRead();
      await daemon.untilRead();
      daemon.store.isDown = false;
    });

    it('are applied when the removed target stays away', async () => {
      await clock.advance(LATEST_REMOVAL_MILLISECONDS);
      expect(usableTargets(daemon)).toEqual([]);
      expect(usableTargets(peer)).toEqual([]);
    });

    it('are held back while expired entries are registered again', async () => {
      await clock.advance(1_000);
      expect(usableTargets(daemon)).toEqual(['t']);
      log.push({ kind: 'present', entry: createTargetEntry('t', { sequence: 2 }) });
      await clock.advance(LATEST_REMOVAL_MILLISECONDS);
      expect(usableTargets(daemon)).toEqual(['t']);
    });
  });

  describe('of a daemon that waits before it calls the store again', () => {
    beforeEach(async () => {
      log.push({ kind: 'removed', id: 't' });
      setStoresDown(true);
      await clock.advance(8_000);
    });

    /** Ends outages at several moments of the daemon's pause, and begins the next one. */
    async function playOutages(): Promise<void> {
      const outages = Array.from({ length: 12 }, (_, index) => index);
      await outages.reduce<Promise<void>>(async (before, index) => {
        await before;
        setStoresDown(false);
        await clock.advance(LATEST_ALONE_MILLISECONDS);
        expect(usableTargets(daemon)).toEqual([]);
        log.push({ kind: 'present', entry: createTargetEntry('t', { sequence: index + 2 }) });
        await clock.advance(2_000);
        expect(usableTargets(daemon)).toEqual(['t']);
        log.push({ kind: 'removed', id: 't' });
        setStoresDown(true);
        await clock.advance(8_000 + index * 170);
      }, Promise.resolve());
    }

    it('are applied in time, whenever a store that refuses calls comes back', () => playOutages());

    it('are applied in time, whenever a store that does not answer comes back', async () => {
      daemon.store.failAfter = () => clock.sleep(CALL_TIMEOUT_MILLISECONDS);
      await playOutages();
    });

    it('are read as soon as a peer announces that the store is back', async () => {
      peer.store.isDown = false;
      await peer.untilRead();
      await daemon.untilRead();
      daemon.store.isDown = false;
      peer.recipients = [daemon];
      const { registryReads } = daemon.store;
      await clock.advance(650);
      expect(daemon.store.registryReads).toBeGreaterThan(registryReads);
    });
  });

  describe('of a daemon that hears of a target while a peer holds removals back', () => {
    it('come with all targets that the peer announced before', async () => {
      log.push({ kind: 'removed', id: 't' });
      log.push({ kind: 'present', entry: createTargetEntry('u') });
      setStoresDown(true);
      await clock.advance(6_000);
      peer.store.isDown = false;
      await peer.untilRead();
      await clock.advance(1_000);
      peer.recipients = [daemon];
      await clock.advance(LATEST_REMOVAL_MILLISECONDS);
      expect(usableTargets(daemon)).toEqual(['u']);
    });
  });

  describe('of a daemon that takes over the state of a peer that has read less', () => {
    it('do not take out a target that the daemon read of later', async () => {
      log.push({ kind: 'removed', id: 't' });
      setStoresDown(true);
      await clock.advance(6_000);
      const { state } = peer;
      daemon.store.isDown = false;
      log.push({ kind: 'present', entry: createTargetEntry('u') });
      await daemon.untilRead();
      state.replaceTargets([], 2, 'store');
      daemon.state.adoptTargets(state.snapshot([]).targets, state.position, 'n:1');
      expect(usableTargets(daemon)).toEqual(['t', 'u']);
      await clock.advance(LATEST_REMOVAL_MILLISECONDS);
      expect(usableTargets(daemon)).toEqual(['u']);
    });
  });
});
