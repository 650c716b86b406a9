/**
 * Guards against two losses: requests that must run once being lost to trials of targets whose
 * health is unknown, while requests that may be retried could find out; and large answers crossing
 * zones and regions because only the bytes of the requests counted.
 */
import { createRandom, ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import FailureRates from '../../health/FailureRates.js';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import OutstandingRequests from '../../placement/OutstandingRequests.js';
import ServiceTimes from '../../placement/ServiceTimes.js';
import TargetCoverage from '../../placement/TargetCoverage.js';
import type { PickQuery } from '../../placement/TargetPick.js';
import TargetPicker from '../../placement/TargetPicker.js';
import TargetTable from '../../state/TargetTable.js';
import createTargetEntry from './createTargetEntry.js';

const REGIONS: Readonly<Record<string, string>> = { near: 'west', next: 'west', far: 'east' };
const ONCE: PickQuery = {
  service: 'orders',
  kind: 'non-idempotent',
  bodyBytes: 1_000,
  objectiveMilliseconds: 3_000,
  remainingMilliseconds: 6_000,
  excluded: new Set(),
};
const REPEATABLE: PickQuery = { ...ONCE, kind: 'idempotent' };
/** A route map, of which the request is short. */
const DOWNLOAD: PickQuery = { ...ONCE, kind: 'download', bodyBytes: 0, answerBytes: 90_000 };

describe('TargetCost', () => {
  let clock: ManualClock;
  let table: TargetTable;
  let outstanding: OutstandingRequests;
  let failures: FailureRates;
  let picker: TargetPicker;

  beforeEach(() => {
    clock = new ManualClock();
    table = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
    outstanding = new OutstandingRequests();
    failures = new FailureRates(clock);
    picker = new TargetPicker({
      location: { zone: 'near', region: 'west' },
      regionOf: (zone) => REGIONS[zone],
      targets: table,
      outstanding,
      serviceTimes: new ServiceTimes(),
      coverage: new TargetCoverage(clock, failures, 0.7),
      admission: { denialOf: () => undefined, isUnproven: () => false },
      hasConnection: () => true,
      clock,
      random: createRandom(1),
    });
    clock.pause(10_000);
  });

  /** Adds targets, the last request to which was long ago. */
  function addTargets(ids: readonly string[], zone = 'near'): void {
    table.apply(
      ids.map((id) => ({
        kind: 'present' as const,
        entry: createTargetEntry(id, { service: 'orders', zone }),
      })),
    );
    ids.forEach((id) => {
      table.get(id)!.usedAt = 1;
    });
  }

  /** A request to the target has just succeeded, or failed. */
  function observe(id: string, hasFailed = false): void {
    const target = table.get(id)!;
    target.usedAt = clock.now();
    target.healthEstimate.observe(clock.now(), hasFailed ? 'failed' : 'good');
  }

  function pickId(query: PickQuery): string {
    const result = picker.pick(query);
    return result.kind === 'picked' ? result.pick.target.entry.id : result.kind;
  }

  describe('with idle targets whose health is unknown', () => {
    beforeEach(() => {
      addTargets(['proven', 'idle-a', 'idle-b', 'idle-c']);
      observe('proven');
    });

    it('tries them with requests that may be retried', () => {
      expect(pickId(REPEATABLE)).toMatch(/^idle/);
    });

    it('sends once-only requests where others succeeded, while others can try', () => {
      pickId(REPEATABLE);
      expect(Array.from({ length: 50 }, () => pickId(ONCE))).toEqual(Array(50).fill('proven'));
    });

    it('tries them with once-only requests where there are no others', () => {
      pickId({ ...REPEATABLE, service: 'another' });
      expect(pickId(ONCE)).toMatch(/^idle/);
      pickId(REPEATABLE);
      clock.pause(2_100);
      observe('proven');
      expect(pickId(ONCE)).toMatch(/^idle/);
    });

    it('tries them with any request at a high failure rate, where a floor holds', () => {
      pickId(REPEATABLE);
      Array.from({ length: 20 }).forEach((_, index) => failures.record('orders', index % 5 === 0));
      expect(pickId(ONCE)).toMatch(/^idle/);
    });
  });

  describe('with a target that has just joined', () => {
    beforeEach(() => {
      addTargets(['proven']);
      table.apply([
        { kind: 'present', entry: createTargetEntry('new', { service: 'orders', zone: 'near' }) },
      ]);
      observe('proven');
    });

    it('leaves it to requests that may be retried for two seconds', () => {
      outstanding.setPeerCount('peer', 'new', 1);
      pickId(REPEATABLE);
      outstanding.setPeerCount('peer', 'new', 0);
      expect(pickId(ONCE)).toBe('proven');
      expect(pickId(REPEATABLE)).toBe('new');
    });

    it('uses it within four seconds for once-only requests too, if it got none', () => {
      clock.pause(3_000);
      observe('proven');
      picker.pick({ ...REPEATABLE, excluded: new Set(['new']) });
      expect(pickId(ONCE)).toBe('new');
    });

    it('uses it at once where all requests must run once', () => {
      expect(pickId(ONCE)).toBe('new');
    });
  });

  describe('with large answers', () => {
    beforeEach(() => {
      addTargets(['own']);
      addTargets(['next'], 'next');
      addTargets(['far'], 'far');
      ['own', 'next', 'far'].forEach((id) => observe(id));
    });

    it('stays in the zone although another one has more free slots', () => {
      observe('own', true);
      clock.pause(100);
      Array.from({ length: 3 }).forEach(() => observe('own'));
      outstanding.setPeerCount('peer', 'own', 3);
      expect(pickId(DOWNLOAD)).toBe('own');
    });

    it('uses another zone before another region, when its own has a queue', () => {
      outstanding.setPeerCount('peer', 'own', 11);
      expect(pickId({ ...DOWNLOAD, objectiveMilliseconds: 800 })).toBe('next');
      outstanding.setPeerCount('peer', 'next', 1);
      expect(pickId({ ...DOWNLOAD, objectiveMilliseconds: 800 })).toBe('next');
    });

    it('uses another region rather than unhealthy targets of its own', () => {
      ['own', 'next'].forEach((id) => [1, 2, 3].forEach(() => observe(id, true)));
      expect(pickId(DOWNLOAD)).toBe('far');
    });

    it('lets short answers go where a slot is free', () => {
      outstanding.setPeerCount('peer', 'own', 7);
      expect(pickId({ ...DOWNLOAD, answerBytes: 500 })).toBe('next');
    });
  });
});
