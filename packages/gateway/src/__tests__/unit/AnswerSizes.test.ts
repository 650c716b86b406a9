/** Guards against choosing targets by a single answer: the mean must follow many, from the first on. */
import { describe, expect, it } from 'vitest';
import AnswerSizes from '../../placement/AnswerSizes.js';

describe('AnswerSizes', () => {
  it('expects nothing of a route without answers', () => {
    expect(new AnswerSizes().meanOf('maps')).toBe(0);
  });

  it('learns the mean of each route from its first answers', () => {
    const sizes = new AnswerSizes();
    [80_000, 100_000].forEach((bytes) => sizes.record('maps', bytes));
    sizes.record('levels', 500);
    expect(sizes.meanOf('maps')).toBe(90_000);
    expect(sizes.meanOf('levels')).toBe(500);
  });

  it('follows a lasting change and smooths a single answer', () => {
    const sizes = new AnswerSizes();
    Array.from({ length: 200 }).forEach(() => sizes.record('maps', 1_000));
    sizes.record('maps', 101_000);
    expect(sizes.meanOf('maps')).toBeLessThan(10_000);
    Array.from({ length: 200 }).forEach(() => sizes.record('maps', 50_000));
    expect(sizes.meanOf('maps')).toBeGreaterThan(45_000);
  });
});
