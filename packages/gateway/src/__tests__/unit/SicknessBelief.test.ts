import { describe, expect, it } from 'vitest';
import EpisodeLength from '../../EpisodeLength.js';
import SicknessBelief, { DEFAULT_SICKNESS_RATES } from '../../SicknessBelief.js';

function createBelief(length = new EpisodeLength()) {
  return new SicknessBelief(DEFAULT_SICKNESS_RATES, length, 0);
}

describe('SicknessBelief', () => {
  describe('with one observation', () => {
    it('takes a target for sick after one failure', () => {
      const belief = createBelief();
      belief.observe(10, 'failed');
      expect(belief.probabilityAt(10)).toBeGreaterThan(0.9);
    });

    it('is not cleared by good answers to requests that began long before the failure', () => {
      const belief = createBelief();
      Array.from({ length: 5 }).forEach((_, index) => belief.observe(index, 'good', index));
      belief.observe(1_500, 'failed');
      const before = belief.probabilityAt(1_530);
      belief.observe(1_530, 'good', 20);
      expect(belief.probabilityAt(1_530)).toBeCloseTo(before, 1);
      belief.observe(1_600, 'good', 1_560);
      expect(belief.probabilityAt(1_600)).toBeLessThan(before);
    });

    it('takes a lone failure for chance when the target was well a moment before', () => {
      const belief = createBelief();
      Array.from({ length: 5 }).forEach((_, index) => belief.observe(index, 'good', index));
      belief.observe(1_000, 'failed');
      expect(belief.probabilityAt(1_000)).toBeGreaterThan(0.5);
      belief.observe(1_400, 'good', 980);
      expect(belief.probabilityAt(1_400)).toBeLessThan(0.2);
    });

    it('keeps to a second failure whatever began before the first', () => {
      const belief = createBelief();
      Array.from({ length: 5 }).forEach((_, index) => belief.observe(index, 'good', index));
      belief.observe(1_000, 'failed');
      belief.observe(1_010, 'failed');
      belief.observe(1_400, 'good', 980);
      expect(belief.probabilityAt(1_400)).toBeGreaterThan(0.7);
    });

    it('takes a target for well after two good answers', () => {
      const belief = createBelief();
      belief.observe(10, 'good');
      belief.observe(20, 'good');
      expect(belief.probabilityAt(20)).toBeLessThan(0.05);
    });
  });

  describe('with time', () => {
    it('stays sick for most of an episode and recovers soon after it', () => {
      const belief = createBelief();
      belief.observe(0, 'failed');
      expect(belief.probabilityAt(6_000)).toBeGreaterThan(0.8);
      expect(belief.probabilityAt(12_000)).toBeLessThan(0.25);
    });

    it('loses certainty of a well target slowly', () => {
      const belief = createBelief();
      belief.observe(0, 'good');
      belief.observe(1, 'good');
      belief.observe(2, 'good');
      const soon = belief.probabilityAt(500);
      const later = belief.probabilityAt(5_000);
      expect(soon).toBeLessThan(0.05);
      expect(later).toBeGreaterThan(soon);
      expect(belief.probabilityAt(1e9)).toBeCloseTo(DEFAULT_SICKNESS_RATES.sickShare, 5);
    });

    it('does not run backwards', () => {
      const belief = createBelief();
      belief.observe(100, 'failed');
      expect(belief.probabilityAt(50)).toBe(belief.probabilityAt(100));
    });
  });

  describe('the length of an episode', () => {
    it('grows with failures late in an episode', () => {
      const length = new EpisodeLength();
      const belief = createBelief(length);
      belief.observe(0, 'failed');
      const before = length.milliseconds;
      belief.observe(before + 4_000, 'failed');
      expect(length.milliseconds).toBe(before + 800);
    });

    it('shrinks with recoveries seen early', () => {
      const length = new EpisodeLength();
      const belief = createBelief(length);
      const before = length.milliseconds;
      belief.observe(0, 'failed');
      Array.from({ length: 6 }).forEach((_, index) => belief.observe(2_000 + index, 'good'));
      expect(length.milliseconds).toBeLessThan(before);
    });
  });
});
