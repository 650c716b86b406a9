import { createRandom, ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import FailureRates from '../../health/FailureRates.js';
import OutstandingRequests from '../../placement/OutstandingRequests.js';
import ServiceTimes from '../../placement/ServiceTimes.js';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import type { TargetEntry } from '../../state/TargetEntry.js';
import type { PickQuery } from '../../placement/TargetPick.js';
import TargetCoverage from '../../placement/TargetCoverage.js';
import TargetPicker from '../../placement/TargetPicker.js';
import TargetTable from '../../state/TargetTable.js';
import createTargetEntry from './createTargetEntry.js';

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
  return createTargetEntry(id, { service: 'orders', zone });
}

describe('TargetPicker', () => {
  let clock: ManualClock;
  let table: TargetTable;
  let outstanding: OutstandingRequests;
  let serviceTimes: ServiceTimes;
  let failures: FailureRates;
  let picker: TargetPicker;
  let connected: Set<string>;

  beforeEach(() => {
    connected = new Set();
    clock = new ManualClock();
    table = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
    outstanding = new OutstandingRequests();
    serviceTimes = new ServiceTimes();
    failures = new FailureRates(clock);
    picker = createPicker(0.7);
  });

  function createPicker(floorShare: number): TargetPicker {
    return new TargetPicker({
      location: { zone: 'near', region: 'west' },
      regionOf: (zone) => REGIONS[zone],
      targets: table,
      outstanding,
      serviceTimes,
      coverage: new TargetCoverage(clock, failures, floorShare),
      admission: { denialOf: () => undefined, isUnproven: () => false },
      hasConnection: (target) => connected.has(target),
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

  function observe(id: string, ...hasFailedResults: readonly boolean[]): void {
    hasFailedResults.forEach((hasFailed) =>
      table.get(id)!.healthEstimate.observe(clock.now(), hasFailed ? 'failed' : 'good'),
    );
  }

  function pickId(query: Partial<PickQuery> = {}): string {
    const result = picker.pick({ ...QUERY, ...query });
    return result.kind === 'picked' ? result.pick.target.entry.id : result.kind;
  }

  describe('a request that needs a free slot', () => {
    it('goes to one in another region rather than queue, and queues where there is none', () => {
      addTargets(createEntry('near'), createEntry('far', 'far'));
      outstanding.setPeerCount('peer', 'near', 2);
      expect(pickId({ needsFreeSlot: true })).toBe('far');
      expect(pickId()).toBe('near');
      outstanding.setPeerCount('peer', 'far', 2);
      expect(pickId({ needsFreeSlot: true })).toBe('near');
    });
  });

  describe('with open connections', () => {
    it('prefers a target that it is connected to among equals', () => {
      addTargets(createEntry('a'), createEntry('b'), createEntry('c'));
      connected.add('b');
      expect(new Set(Array.from({ length: 50 }, () => pickId()))).toEqual(new Set(['b']));
    });

    it('opens a connection rather than queue, or use a target that failed', () => {
      addTargets(createEntry('busy'), createEntry('unhealthy'), createEntry('free'));
      connected.add('busy').add('unhealthy');
      outstanding.setPeerCount('peer', 'busy', 4);
      observe('unhealthy', true);
      expect(pickId()).toBe('free');
    });
  });

  describe('with health observations', () => {
    it('avoids a target after one failure', () => {
      addTargets(createEntry('unhealthy'), createEntry('healthy'));
      observe('unhealthy', true);
      observe('healthy', false, false);
      expect(Array.from({ length: 50 }, () => pickId())).not.toContain('unhealthy');
    });

    it('queues an idempotent request at the only healthy target', () => {
      const unhealthyIds = ['a', 'b', 'c', 'd', 'e'];
      addTargets(createEntry('healthy'), ...unhealthyIds.map((id) => createEntry(id)));
      unhealthyIds.forEach((id) => observe(id, true, true));
      observe('healthy', false, false);
      outstanding.setPeerCount('peer', 'healthy', 4);
      expect(pickId({ kind: 'idempotent' })).toBe('healthy');
    });

    it('uses an unhealthy target when it is the only one', () => {
      addTargets(createEntry('unhealthy'));
      observe('unhealthy', true);
      expect(pickId()).toBe('unhealthy');
    });

    it('queues a non-idempotent request rather than use an unhealthy target', () => {
      addTargets(createEntry('unhealthy'), createEntry('healthy'));
      observe('unhealthy', true);
      observe('healthy', false, false);
      outstanding.setPeerCount('peer', 'healthy', 2);
      expect(pickId()).toBe('healthy');
    });
  });

  describe('with idle targets', () => {
    /** Simulates light load; returns the targets that had a request in the last two seconds. */
    function simulateLightLoad(
      seconds: number,
      isUnhealthy: (id: string) => boolean,
    ): readonly string[] {
      const usedAt = new Map<string, number>();
      Array.from({ length: seconds * 10 }).forEach(() => {
        clock.pause(100);
        const id = pickId();
        usedAt.set(id, clock.now());
        const target = table.get(id)!;
        target.usedAt = clock.now();
        target.healthEstimate.observe(clock.now(), isUnhealthy(id) ? 'failed' : 'good');
        failures.record('orders', isUnhealthy(id));
      });
      return [...usedAt].filter(([, at]) => clock.now() - at <= 2_000).map(([id]) => id);
    }

    const ids = ['a', 'b', 'c', 'd', 'e', 'f'];

    it('returns to healthy targets that failed once', () => {
      addTargets(...ids.map((id) => createEntry(id)));
      ['a', 'b', 'c', 'd'].forEach((id) => observe(id, true));
      const used = simulateLightLoad(20, () => false);
      expect(used.length).toBeGreaterThanOrEqual(ids.length * 0.7);
    });

    it('uses all targets with a floor of 100%', () => {
      picker = createPicker(1);
      addTargets(...ids.map((id) => createEntry(id)));
      ['a', 'b', 'c', 'd'].forEach((id) => observe(id, true));
      expect(simulateLightLoad(20, () => false)).toHaveLength(ids.length);
    });

    it('avoids an unhealthy target while the failure rate is low', () => {
      addTargets(...ids.map((id) => createEntry(id)));
      observe('a', true, true);
      ids.slice(1).forEach((id) => observe(id, false, false));
      expect(simulateLightLoad(3, () => false)).not.toContain('a');
    });

    it('uses the floor share of the targets, also unhealthy ones, at a high failure rate', () => {
      addTargets(...ids.map((id) => createEntry(id)));
      ids.slice(2).forEach((id) => observe(id, true, true));
      clock.pause(2_100);
      Array.from({ length: 20 }).forEach((_, index) => failures.record('orders', index % 5 === 0));
      expect(simulateLightLoad(2, () => false).length).toBeGreaterThanOrEqual(ids.length * 0.7);
    });
  });

  describe('with load', () => {
    it('prefers free slots among equally healthy targets', () => {
      addTargets(createEntry('busy'), createEntry('idle'));
      observe('busy', false, false, false);
      observe('idle', false, false, false);
      outstanding.setPeerCount('peer', 'busy', 4);
      expect(pickId()).toBe('idle');
    });

    it('refuses at once when no target is expected to answer in time', () => {
      addTargets(createEntry('busy'));
      outstanding.setPeerCount('peer', 'busy', 100);
      expect(pickId({ remainingMilliseconds: 500 })).toBe('full');
    });
  });

  describe('with zones and regions', () => {
    it('prefers its own zone, then another zone of the region for a large body', () => {
      addTargets(createEntry('own'), createEntry('next', 'next'), createEntry('far', 'far'));
      expect(pickId()).toBe('own');
      expect(pickId({ excluded: new Set(['own']), bodyBytes: 60_000 })).toBe('next');
    });

    it('uses another region when every target of its own is unhealthy', () => {
      addTargets(createEntry('own'), createEntry('far', 'far'));
      observe('own', true);
      observe('far', false, false);
      expect(pickId()).toBe('far');
    });
  });

  describe('with the registry', () => {
    it('excludes leaving targets and those that already received the request', () => {
      addTargets({ ...createEntry('leaving'), isLeaving: true }, createEntry('tried'));
      expect(pickId({ excluded: new Set(['tried']) })).toBe('no-target');
    });

    it('tries a new target that no daemon has used yet', () => {
      addTargets(createEntry('known'));
      observe('known', false, false, false);
      table.apply([{ kind: 'present', entry: createEntry('new') }]);
      expect(pickId({ kind: 'idempotent' })).toBe('new');
    });
  });
});
