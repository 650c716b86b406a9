/** Guards against entries that come and go with waves of load: each change costs connections. */
import { ManualClock } from '@cactusrun/core';
import { describe, expect, it } from 'vitest';
import HeldLoad from '../../fleet/HeldLoad.js';

describe('HeldLoad', () => {
  it('rises at once and falls slowly, for each zone', () => {
    const clock = new ManualClock();
    const loads = new HeldLoad(clock);
    expect(loads.of('a')).toBe(0);
    loads.record('a', 0.3);
    loads.record('a', 0.9);
    loads.record('b', 0.2);
    loads.record('a', 0.1);
    expect(loads.of('a')).toBeCloseTo(0.9);
    expect(loads.of('b')).toBeCloseTo(0.2);
    clock.pause(10_000);
    loads.record('a', 0.1);
    expect(loads.of('a')).toBeGreaterThan(0.7);
    clock.pause(300_000);
    loads.record('a', 0.1);
    expect(loads.of('a')).toBeCloseTo(0.1);
  });
});
