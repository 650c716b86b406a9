/**
 * Guards against small hosts that get as many callers as large ones: callers spread evenly over the
 * entries, so that a small one beside two large ones had a third of the zone's load.
 */
import { describe, expect, it } from 'vitest';
import countEntries from '../../fleet/countEntries.js';

const SMALL = 0.14;
const small = (count: number): readonly number[] => Array<number>(count).fill(SMALL);

describe('countEntries', () => {
  describe('with large and small hosts', () => {
    it('leaves the small ones out, with load and without', () => {
      expect(countEntries([1, 1, ...small(28)], 0)).toBe(2);
      expect(countEntries([1, 1, ...small(28)], 1)).toBe(2);
    });

    it('keeps small ones beside a single large one, as many as the load asks for', () => {
      const capacities = [1, ...small(28)];
      expect(countEntries(capacities, 0)).toBe(3);
      const count = countEntries(capacities, 0.45);
      expect(0.45 / count).toBeLessThanOrEqual(SMALL * 0.7);
      expect(0.45 / (count - 1)).toBeGreaterThan(SMALL * 0.7);
    });

    it('overloads the smallest entry least when no number is sufficient', () => {
      expect(countEntries([1, 1, SMALL], 5)).toBe(2);
      expect(countEntries([1, ...small(28)], 5)).toBe(8);
    });
  });

  describe('with hosts alike', () => {
    it('adds entries with the load, up to a bound', () => {
      const counts = [0, 1, 2.5, 4, 100].map((load) =>
        countEntries(Array<number>(20).fill(1), load),
      );
      expect(counts).toEqual([3, 3, 4, 6, 8]);
    });

    it('uses all of a few', () => {
      expect([0, 1, 2].map((hosts) => countEntries(Array<number>(hosts).fill(1), 9))).toEqual([
        0, 1, 2,
      ]);
    });
  });
});
