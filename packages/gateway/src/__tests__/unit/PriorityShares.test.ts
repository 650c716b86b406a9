/** Guards against a priority that is shut out, and against one that comes first without need. */
import { beforeEach, describe, expect, it } from 'vitest';
import PriorityShares from '../../admission/PriorityShares.js';

describe('PriorityShares', () => {
  let shares: PriorityShares;

  beforeEach(() => {
    shares = new PriorityShares();
  });

  function record(priority: number, asked: number, admitted: number): void {
    Array.from({ length: asked }, () => shares.recordAsked(priority, 0));
    Array.from({ length: admitted }, () => shares.recordAdmitted(priority, 0));
  }

  it('places a priority among those in use', () => {
    [2, 5, 9].forEach((priority) => record(priority, 1, 1));
    expect([2, 5, 9].map((priority) => shares.positionOf(priority, 0))).toEqual([0, 0.5, 1]);
  });

  it('treats a single priority as the least urgent, and forgets those not in use', () => {
    record(0, 1, 1);
    expect(shares.positionOf(0, 0)).toBe(1);
    record(1, 1, 1);
    expect(shares.positionOf(0, 0)).toBe(0);
    shares.recordAsked(1, 60_000);
    expect(shares.positionOf(1, 60_000)).toBe(1);
  });

  it('knows a less urgent priority that is shut out', () => {
    record(0, 100, 80);
    record(1, 100, 5);
    expect(shares.isBelowFloor(1, 0)).toBe(true);
    record(1, 0, 10);
    expect(shares.isBelowFloor(1, 0)).toBe(false);
  });

  it('never holds the most urgent one to be shut out', () => {
    record(0, 100, 0);
    record(1, 100, 80);
    expect(shares.isBelowFloor(0, 0)).toBe(false);
  });

  it('gives the rate of more urgent arrivals', () => {
    record(0, 50, 0);
    record(1, 50, 0);
    expect(shares.moreUrgentRateOf(0, 0)).toBe(0);
    expect(shares.moreUrgentRateOf(1, 0)).toBeCloseTo(0.01);
  });
});
