import { createRandom, ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import FailureShares from '../../FailureShares.js';
import OutstandingCalls from '../../OutstandingCalls.js';
import ServiceTimes from '../../ServiceTimes.js';
import { DEFAULT_SICKNESS_RATES } from '../../SicknessBelief.js';
import type { TargetEntry } from '../../TargetEntry.js';
import type { PickQuery } from '../../TargetPicker.js';
import TargetCoverage from '../../TargetCoverage.js';
import TargetPicker from '../../TargetPicker.js';
import TargetTable from '../../TargetTable.js';

const QUERY: PickQuery = {
  service: 'orders',
  kind: 'non-idempotent',
  bodyBytes: 1_000,
  objectiveMilliseconds: 3_000,
  remainingMilliseconds: 6_000,
  excluded: new Set(),
};

const REGIONS: Readonly<Record<string, string>> = { near: 'west', next: 'west', far: 'east' };

function createEntry(id: string, zone = 'near'): TargetEntry {
  return {
    id,
    address: '127.0.0.1:1',
    service: 'orders',
    zone,
    slots: 2,
    isLeaving: false,
    coldMilliseconds: 0,
    bornAt: 1,
  };
}

describe('TargetPicker', () => {
  let clock: ManualClock;
  let table: TargetTable;
  let outstanding: OutstandingCalls;
  let times: ServiceTimes;
  let failures: FailureShares;
  let picker: TargetPicker;

  beforeEach(() => {
    clock = new ManualClock();
    table = new TargetTable(clock, DEFAULT_SICKNESS_RATES);
    outstanding = new OutstandingCalls();
    times = new ServiceTimes();
    failures = new FailureShares(clock);
    picker = createPicker(0.7);
  });

  function createPicker(floorShare: number): TargetPicker {
    return new TargetPicker({
      place: { zone: 'near', region: 'west' },
      regionOf: (zone) => REGIONS[zone],
      targets: table,
      outstanding,
      times,
      coverage: new TargetCoverage(clock, failures, floorShare),
      clock,
      random: createRandom(1),
    });
  }

  function addTargets(...entries: readonly TargetEntry[]): void {
    table.apply(entries.map((entry) => ({ kind: 'present', entry })));
    entries.forEach(({ id }) => {
      table.get(id)!.usedAt = 1;
    });
  }

  function observe(id: string, ...ends: readonly boolean[]): void {
    ends.forEach((hasFailed) =>
      table.get(id)!.belief.observe(clock.now(), hasFailed ? 'failed' : 'good'),
    );
  }

  function pickId(query: Partial<PickQuery> = {}): string {
    const result = picker.pick({ ...QUERY, ...query });
    return result.kind === 'picked' ? result.pick.target.entry.id : result.kind;
  }

  describe('with evidence', () => {
    it('passes over a target after one failure', () => {
      addTargets(createEntry('sick'), createEntry('well'));
      observe('sick', true);
      observe('well', false, false);
      expect(Array.from({ length: 50 }, () => pickId())).not.toContain('sick');
    });

    it('queues a request that may be repeated at the one sound target while others are sick', () => {
      const sick = ['a', 'b', 'c', 'd', 'e'];
      addTargets(createEntry('well'), ...sick.map((id) => createEntry(id)));
      sick.forEach((id) => observe(id, true, true));
      observe('well', false, false);
      outstanding.learn('peer', 'well', 4);
      expect(pickId({ kind: 'idempotent' })).toBe('well');
    });

    it('uses a sick target when it is the only one', () => {
      addTargets(createEntry('sick'));
      observe('sick', true);
      expect(pickId()).toBe('sick');
    });

    it('queues at a sound target rather than risk a request that must run once', () => {
      addTargets(createEntry('sick'), createEntry('well'));
      observe('sick', true);
      observe('well', false, false);
      outstanding.learn('peer', 'well', 2);
      expect(pickId()).toBe('well');
    });
  });

  describe('with idle targets', () => {
    /** Plays light load for a while; returns which targets had a request in the last two seconds. */
    function playLightLoad(seconds: number, isSick: (id: string) => boolean): readonly string[] {
      const usedAt = new Map<string, number>();
      Array.from({ length: seconds * 10 }).forEach(() => {
        clock.pause(100);
        const id = pickId();
        usedAt.set(id, clock.now());
        const target = table.get(id)!;
        target.usedAt = clock.now();
        target.belief.observe(clock.now(), isSick(id) ? 'failed' : 'good');
        failures.note('orders', isSick(id));
      });
      return [...usedAt].filter(([, at]) => clock.now() - at <= 2_000).map(([id]) => id);
    }

    const ids = ['a', 'b', 'c', 'd', 'e', 'f'];

    it('uses targets again that failed once and are well', () => {
      addTargets(...ids.map((id) => createEntry(id)));
      ['a', 'b', 'c', 'd'].forEach((id) => observe(id, true));
      const used = playLightLoad(20, () => false);
      expect(used.length).toBeGreaterThanOrEqual(ids.length * 0.7);
    });

    it('uses all of them where the floor says so', () => {
      picker = createPicker(1);
      addTargets(...ids.map((id) => createEntry(id)));
      ['a', 'b', 'c', 'd'].forEach((id) => observe(id, true));
      expect(playLightLoad(20, () => false)).toHaveLength(ids.length);
    });

    it('leaves a sick target alone while little fails', () => {
      addTargets(...ids.map((id) => createEntry(id)));
      observe('a', true, true);
      ids.slice(1).forEach((id) => observe(id, false, false));
      expect(playLightLoad(3, () => false)).not.toContain('a');
    });

    it('uses the floor of the targets while much fails, also those that look sick', () => {
      addTargets(...ids.map((id) => createEntry(id)));
      ids.slice(2).forEach((id) => observe(id, true, true));
      clock.pause(2_100);
      Array.from({ length: 20 }).forEach((_, index) => failures.note('orders', index % 5 === 0));
      expect(playLightLoad(2, () => false).length).toBeGreaterThanOrEqual(ids.length * 0.7);
    });
  });

  describe('with load', () => {
    it('prefers free slots among equals', () => {
      addTargets(createEntry('busy'), createEntry('idle'));
      observe('busy', false, false, false);
      observe('idle', false, false, false);
      outstanding.learn('peer', 'busy', 4);
      expect(pickId()).toBe('idle');
    });

    it('refuses at once when no target would answer in time', () => {
      addTargets(createEntry('busy'));
      outstanding.learn('peer', 'busy', 100);
      expect(pickId({ remainingMilliseconds: 500 })).toBe('full');
    });
  });

  describe('with distance', () => {
    it('stays in the own zone, and sends a long body to no other region while a near one is fit', () => {
      addTargets(createEntry('own'), createEntry('next', 'next'), createEntry('far', 'far'));
      expect(pickId()).toBe('own');
      expect(pickId({ excluded: new Set(['own']), bodyBytes: 60_000 })).toBe('next');
    });

    it('crosses regions when every near target is sick', () => {
      addTargets(createEntry('own'), createEntry('far', 'far'));
      observe('own', true);
      observe('far', false, false);
      expect(pickId()).toBe('far');
    });
  });

  describe('with the registry', () => {
    it('uses neither leaving targets nor those that had the request', () => {
      addTargets({ ...createEntry('leaving'), isLeaving: true }, createEntry('tried'));
      expect(pickId({ excluded: new Set(['tried']) })).toBe('no-target');
    });

    it('tries a target that nobody has used yet', () => {
      addTargets(createEntry('known'));
      observe('known', false, false, false);
      table.apply([{ kind: 'present', entry: createEntry('new') }]);
      expect(pickId({ kind: 'idempotent' })).toBe('new');
    });
  });
});
