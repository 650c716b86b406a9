/**
 * Guards against a hedge delay that is far from the observed times: hedges then come for ordinary
 * requests and use up the accepted work, or never come.
 */
import { createRandom } from '@cactusrun/core';
import { describe, expect, it } from 'vitest';
import AnswerTimes from '../../hedging/AnswerTimes.js';

/** Relative error of a quantile: the width of a bucket. */
const TOLERANCE = 0.05;

describe('AnswerTimes', () => {
  it('knows no quantile without times', () => {
    expect(new AnswerTimes(100).quantile(0.9)).toBeUndefined();
  });

  [0.5, 0.9, 0.98].forEach((share) => {
    it(`estimates the quantile ${share} within the width of a bucket`, () => {
      const times = new AnswerTimes(Number.POSITIVE_INFINITY);
      Array.from({ length: 1_000 }, (_, index) => index + 1).forEach((time) => times.record(time));
      const estimate = times.quantile(share)!;
      expect(estimate / (share * 1_000)).toBeGreaterThan(1 - TOLERANCE);
      expect(estimate / (share * 1_000)).toBeLessThan(1 + TOLERANCE);
    });
  });

  it('leaves the wanted share of random times beyond the quantile', () => {
    const random = createRandom(7);
    const draw = () => 100 * Math.exp(random.unit() + random.unit() + random.unit());
    const times = new AnswerTimes(1_000);
    Array.from({ length: 3_000 }, draw).forEach((time) => times.record(time));
    const delay = times.quantile(0.95)!;
    const beyond = Array.from({ length: 10_000 }, draw).filter((time) => time > delay).length;
    expect(beyond / 10_000).toBeGreaterThan(0.03);
    expect(beyond / 10_000).toBeLessThan(0.07);
  });

  it('follows a change of the times', () => {
    const times = new AnswerTimes(100);
    Array.from({ length: 200 }, () => 100).forEach((time) => times.record(time));
    Array.from({ length: 300 }, () => 400).forEach((time) => times.record(time));
    expect(times.quantile(0.5)!).toBeGreaterThan(390);
  });

  it('keeps its weight bounded', () => {
    const times = new AnswerTimes(100);
    Array.from({ length: 1_000 }, () => 100).forEach((time) => times.record(time));
    expect(times.weight).toBeLessThanOrEqual(100);
  });

  it('holds times below and above its range', () => {
    const times = new AnswerTimes(100);
    [0, 0.2, 1e9].forEach((time) => times.record(time));
    expect(times.quantile(0.5)!).toBeLessThan(2);
    expect(times.quantile(1)!).toBeGreaterThan(100_000);
  });
});
