/**
 * Guards against entries chosen for a load that is not theirs: many short requests use processors,
 * few large answers use links, and a burst must show within seconds.
 */
import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import CallerLoad from '../../fleet/CallerLoad.js';

describe('CallerLoad', () => {
  let clock: ManualClock;
  let load: CallerLoad;

  beforeEach(() => {
    clock = new ManualClock();
    load = new CallerLoad(clock);
  });

  function serve(seconds: number, perSecond: number, answerBytes: number): void {
    Array.from({ length: seconds * perSecond }).forEach(() => {
      clock.pause(1_000 / perSecond);
      load.recordRequest(500);
      load.recordAnswer(answerBytes);
    });
  }

  it('is 0 without callers, and about 1 at what a host of capacity 1 serves', () => {
    expect(load.current()).toBe(0);
    serve(20, 200, 1_000);
    expect(load.current()).toBeCloseTo(1, 1);
  });

  it('counts the bytes of few large answers', () => {
    serve(20, 20, 312_000);
    expect(load.current()).toBeCloseTo(1, 1);
  });

  it('forgets a burst within some seconds', () => {
    serve(5, 200, 1_000);
    clock.pause(10_000);
    expect(load.current()).toBeLessThan(0.05);
  });
});
