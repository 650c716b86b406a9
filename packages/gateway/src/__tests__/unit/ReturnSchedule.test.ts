/** Guards against refused callers that return all at once, or too late to be served. */
import { createRandom } from '@cactusrun/core';
import { describe, expect, it } from 'vitest';
import ReturnSchedule from '../../admission/ReturnSchedule.js';

/** Requests per millisecond for which room comes free. */
const RATE = 0.02;

describe('ReturnSchedule', () => {
  it('spreads returns at the rate at which room comes free', () => {
    const schedule = new ReturnSchedule(createRandom(1));
    const delays = Array.from({ length: 20 }, () => schedule.promise(0, RATE, 100, 60_000));
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(100);
    expect(delays.at(-1)! - delays[0]!).toBeGreaterThanOrEqual(19 / RATE);
  });

  it('promises early times again once the earlier returns are over', () => {
    const schedule = new ReturnSchedule(createRandom(1));
    Array.from({ length: 20 }, () => schedule.promise(0, RATE, 100, 60_000));
    expect(schedule.promise(5_000, RATE, 100, 60_000)).toBeLessThan(200);
  });

  it('leaves callers most of their time, and spreads those without a promise', () => {
    const schedule = new ReturnSchedule(createRandom(1));
    const delays = Array.from({ length: 200 }, () => schedule.promise(0, RATE, 100, 6_000));
    expect(Math.max(...delays)).toBeLessThanOrEqual(1_800);
    expect(new Set(delays.slice(100).map((delay) => Math.round(delay / 100))).size).toBeGreaterThan(
      5,
    );
  });
});
