import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import announceReachability from '../../reachability/announceReachability.js';
import type { ReachabilityListener } from '../../reachability/TargetReachability.js';

describe('announceReachability', () => {
  let clock: ManualClock;
  let change: ReachabilityListener;
  let announced: boolean[];

  beforeEach(() => {
    clock = new ManualClock();
    announced = [];
    const subscribe = (listener: ReachabilityListener) => {
      change = listener;
      return () => {};
    };
    announceReachability({ subscribe }, clock, (isCutOff) => announced.push(isCutOff));
  });

  it('announces at once that the daemon is cut off', () => {
    change(true);
    expect(announced).toEqual([true]);
  });

  it('announces that targets are reached again once this has lasted', async () => {
    change(true);
    change(false);
    await clock.advance(1_900);
    expect(announced).toEqual([true]);
    await clock.advance(200);
    expect(announced).toEqual([true, false]);
  });

  it('announces no return while links come and go', async () => {
    await Array.from({ length: 10 }).reduce<Promise<void>>(async (before) => {
      await before;
      change(true);
      await clock.advance(300);
      change(false);
      await clock.advance(1_500);
    }, Promise.resolve());
    expect(announced).not.toContain(false);
  });
});
