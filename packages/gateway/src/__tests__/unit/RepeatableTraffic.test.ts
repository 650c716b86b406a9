/**
 * Guards against requests that must run once being spared from trials of targets when nothing else
 * tries them: targets that recovered would then stay idle.
 */
import { ManualClock } from '@cactusrun/core';
import { describe, expect, it } from 'vitest';
import RepeatableTraffic from '../../placement/RepeatableTraffic.js';

describe('RepeatableTraffic', () => {
  it('holds for the services that had such a request in the last seconds', () => {
    const clock = new ManualClock();
    const traffic = new RepeatableTraffic(clock);
    expect(traffic.isFlowing('orders')).toBe(false);
    traffic.record('orders');
    clock.pause(1_900);
    expect(traffic.isFlowing('orders')).toBe(true);
    expect(traffic.isFlowing('others')).toBe(false);
    clock.pause(200);
    expect(traffic.isFlowing('orders')).toBe(false);
  });
});
