/**
 * Guards against hedges that do harm: second requests at targets without room lengthen the queues
 * that made the first ones slow, and an attempt that cannot help uses up the limit of one that can.
 */
import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import type { HedgeSituation } from '../../hedging/decideHedge.js';
import decideHedge from '../../hedging/decideHedge.js';
import SlotOccupancy from '../../hedging/SlotOccupancy.js';
import OutstandingRequests from '../../placement/OutstandingRequests.js';
import type { Pick } from '../../placement/TargetPick.js';
import type { KnownTarget } from '../../state/TargetTable.js';
import TargetTable from '../../state/TargetTable.js';
import createTargetEntry from './createTargetEntry.js';

const clock = new ManualClock();

function createTable(count: number): TargetTable {
  const table = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
  table.replace(Array.from({ length: count }, (_, index) => createTargetEntry(`t${index}`)));
  return table;
}

/** A pick of a target with two slots. */
function createPick(change: Partial<Pick> = {}): Pick {
  return {
    target: createTable(1).usable('s')[0]!,
    expectedMilliseconds: 100,
    waitMilliseconds: 0,
    failureProbability: 0,
    requestsThere: 1,
    due: undefined,
    ...change,
  };
}

function decide(change: Partial<HedgeSituation> = {}): string {
  const decision = decideHedge({
    isShareAvailable: true,
    areLinksSound: true,
    remainingMilliseconds: 500,
    medianMilliseconds: () => 100,
    slotsTaken: () => 0.5,
    pick: () => ({ kind: 'picked', pick: createPick() }),
    ...change,
  });
  return decision.kind === 'hedge' ? 'hedge' : decision.reason;
}

describe('decideHedge', () => {
  it('hedges where there is room and time', () => {
    expect(decide()).toBe('hedge');
  });

  const DENIALS: readonly (readonly [string, string, Partial<HedgeSituation>])[] = [
    ['the share is spent', 'share-spent', { isShareAvailable: false }],
    ['no target was heard meanwhile', 'links-in-doubt', { areLinksSound: false }],
    ['most slots of the service are taken', 'short-of-room', { slotsTaken: () => 0.8 }],
    ['the median does not fit the remaining time', 'too-late', { remainingMilliseconds: 100 }],
    [
      'no target is expected to answer in time',
      'too-late',
      { pick: () => ({ kind: 'full', expectedMilliseconds: 900 }) },
    ],
    [
      'the second target would answer after the deadline',
      'too-late',
      { pick: () => ({ kind: 'picked', pick: createPick({ expectedMilliseconds: 500 }) }) },
    ],
    [
      'the second target has no free slot',
      'short-of-room',
      { pick: () => ({ kind: 'picked', pick: createPick({ requestsThere: 2 }) }) },
    ],
    ['there is no other target', 'no-target', { pick: () => ({ kind: 'no-target' }) }],
    ['rate limits leave no room', 'no-target', { pick: () => ({ kind: 'rate-limited' }) }],
  ];

  DENIALS.forEach(([when, reason, change]) => {
    it(`waits when ${when}`, () => {
      expect(decide(change)).toBe(reason);
    });
  });

  it('chooses no target when the share is spent', () => {
    let picks = 0;
    const pick = () => {
      picks += 1;
      return { kind: 'no-target' } as const;
    };
    decide({ isShareAvailable: false, pick });
    expect(picks).toBe(0);
  });
});

describe('SlotOccupancy', () => {
  let targets: TargetTable;

  let outstanding: OutstandingRequests;

  beforeEach(() => {
    targets = createTable(4);
    outstanding = new OutstandingRequests();
  });

  function occupancy(): number {
    return new SlotOccupancy(targets, outstanding, clock).of('s');
  }

  function suspect({ healthEstimate }: KnownTarget): void {
    Array.from({ length: 4 }).forEach(() => healthEstimate.observe(clock.now(), 'failed'));
  }

  it('is the share of the slots with a request of any daemon', () => {
    outstanding.add('t0', 1);
    outstanding.setPeerCount('m', 't1', 1);
    expect(occupancy()).toBe(0.25);
  });

  it('counts no more requests at a target than it has slots', () => {
    outstanding.setPeerCount('m', 't0', 9);
    expect(occupancy()).toBe(0.25);
  });

  it('leaves out targets that look unhealthy, and is full where all do', () => {
    const [first, ...others] = targets.usable('s');
    outstanding.setPeerCount('m', 't1', 2);
    suspect(first!);
    expect(occupancy()).toBeCloseTo(1 / 3);
    others.forEach(suspect);
    expect(occupancy()).toBe(1);
  });

  it('is full without targets', () => {
    expect(new SlotOccupancy(targets, outstanding, clock).of('another')).toBe(1);
  });
});
