/** Guards against pauses that stay short, or that grow without a bound, and against equal ones. */
import { createRandom, ManualClock } from '@cactusrun/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import RefusalPacer from '../../state/RefusalPacer.js';

describe('RefusalPacer', () => {
  describe('nextPause', () => {
    it('doubles up to a maximum, with jitter, for any seed', () => {
      fc.assert(
        fc.property(fc.integer(), fc.integer({ min: 0, max: 40 }), (seed, count) => {
          const pacer = new RefusalPacer(new ManualClock(), createRandom(seed));
          const pauses = Array.from({ length: count + 1 }, () => pacer.nextPause('catching-up'));
          const expected = Math.min(6_400, 400 * 2 ** count);
          expect(pauses.at(-1)).toBeGreaterThanOrEqual(expected * 0.75);
          expect(pauses.at(-1)).toBeLessThanOrEqual(expected * 1.25);
        }),
      );
    });

    it('begins anew after a reset, and counts each step by itself', () => {
      const pacer = new RefusalPacer(new ManualClock(), createRandom(1));
      Array.from({ length: 8 }, () => pacer.nextPause('catching-up'));
      expect(pacer.nextPause('reading-configuration')).toBeLessThanOrEqual(375);
      pacer.reset('catching-up');
      expect(pacer.nextPause('catching-up')).toBeLessThanOrEqual(500);
    });
  });

  describe('isTakeOverDue', () => {
    it('is at once when no peer was heard', () => {
      const pacer = new RefusalPacer(new ManualClock(), createRandom(1));
      expect(pacer.isTakeOverDue(Number.NEGATIVE_INFINITY)).toBe(true);
    });

    it('is after a silence that differs between daemons', async () => {
      const clock = new ManualClock();
      const pacers = [0, 0.2, 0.4, 0.6, 0.8, 0.99].map((drawn) => {
        const random = { ...createRandom(1), unit: () => drawn };
        return new RefusalPacer(clock, random);
      });
      const countDue = () => pacers.filter((pacer) => pacer.isTakeOverDue(0)).length;
      expect(countDue()).toBe(0);
      await clock.advance(2_500);
      expect(countDue()).toBe(0);
      await clock.advance(1_250);
      expect(countDue()).toBe(3);
      await clock.advance(1_251);
      expect(countDue()).toBe(6);
    });
  });
});
