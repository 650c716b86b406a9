/**
 * Guards against room that is counted at targets which are unhealthy, denied or not reached, and
 * against free slots of another region that are missed, or believed in without a report.
 */
import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import ServiceRoom from '../../admission/ServiceRoom.js';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import type { Denial } from '../../limits/TargetAdmission.js';
import OutstandingRequests from '../../placement/OutstandingRequests.js';
import ServiceTimes from '../../placement/ServiceTimes.js';
import TargetTable from '../../state/TargetTable.js';
import createTargetEntry from './createTargetEntry.js';

describe('ServiceRoom', () => {
  let clock: ManualClock;
  let targets: TargetTable;
  let outstanding: OutstandingRequests;
  let denials: Map<string, Denial>;
  let reachability: { isCutOff: boolean };
  let room: ServiceRoom;

  beforeEach(() => {
    clock = new ManualClock();
    targets = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
    outstanding = new OutstandingRequests();
    denials = new Map();
    reachability = { isCutOff: false };
    room = new ServiceRoom({
      targets,
      outstanding,
      serviceTimes: new ServiceTimes(),
      targetAdmission: { denialOf: ({ id }) => denials.get(id) },
      reachability,
      isSameRegion: (zone) => zone !== 'far',
      clock,
    });
  });

  function addTargets(zone: string, ...ids: readonly string[]): void {
    targets.apply(ids.map((id) => ({ kind: 'present', entry: createTargetEntry(id, { zone }) })));
  }

  function fill(id: string, requests: number): void {
    outstanding.setPeerCount('peer', id, requests);
  }

  it('counts the requests of all daemons', () => {
    addTargets('z', 'a', 'b');
    fill('a', 3);
    outstanding.add('b', 1);
    expect(room.roomOf('s')).toMatchObject({
      slots: 4,
      outstanding: 4,
      freeSlots: 1,
      ownOutstanding: 1,
      isOpen: false,
    });
    expect(room.hasFreeSlot('s')).toBe(true);
  });

  it('leaves out targets that are unhealthy, denied or not reached', () => {
    addTargets('z', 'a', 'unhealthy', 'denied', 'unreached');
    fill('a', 2);
    targets.get('unhealthy')!.healthEstimate.observe(clock.now(), 'failed');
    denials.set('denied', { kind: 'leaving' });
    targets.get('unreached')!.blockedUntil = clock.now() + 1_000;
    expect(room.roomOf('s')).toMatchObject({ slots: 2, freeSlots: 0 });
    expect(room.hasFreeSlot('s')).toBe(false);
  });

  it('does not act without sound targets, or when this daemon is cut off', () => {
    expect(room.roomOf('s').isOpen).toBe(true);
    addTargets('z', 'a');
    reachability.isCutOff = true;
    expect(room.roomOf('s').isOpen).toBe(true);
  });

  describe('with targets in another region', () => {
    beforeEach(() => {
      addTargets('z', 'a');
      addTargets('far', 'b', 'c');
      fill('a', 2);
      outstanding.recordLoad('a', 2, clock.now());
    });

    it('sends one request there at times while their load is unknown', async () => {
      expect(room.roomOf('s').remoteFreeSlots).toBe(1);
      expect(room.roomOf('s').remoteFreeSlots).toBe(0);
      await clock.advance(500);
      expect(room.roomOf('s').remoteFreeSlots).toBe(1);
    });

    it('presumes of all what some reported, for as long as that is recent', async () => {
      outstanding.recordLoad('b', 1, clock.now());
      expect(room.roomOf('s').remoteFreeSlots).toBe(2);
      outstanding.recordLoad('b', 4, clock.now());
      await clock.advance(2_000);
      expect(room.roomOf('s').remoteFreeSlots).toBe(0);
      await clock.advance(2_000);
      expect(room.roomOf('s').remoteFreeSlots).toBe(1);
    });
  });
});
