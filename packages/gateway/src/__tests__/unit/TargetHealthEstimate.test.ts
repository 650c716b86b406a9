import { describe, expect, it } from 'vitest';
import EpisodeLength from '../../health/EpisodeLength.js';
import TargetHealthEstimate, {
  DEFAULT_HEALTH_MODEL_PARAMETERS,
} from '../../health/TargetHealthEstimate.js';

function createEstimate(length = new EpisodeLength()) {
  return new TargetHealthEstimate(DEFAULT_HEALTH_MODEL_PARAMETERS, length, 0);
}

describe('TargetHealthEstimate', () => {
  describe('with one observation', () => {
    it('rates a target as unhealthy after one failure', () => {
      const estimate = createEstimate();
      estimate.observe(10, 'failed');
      expect(estimate.unhealthyProbabilityAt(10)).toBeGreaterThan(0.9);
    });

    it('is not lowered by good answers to requests that started long before the failure', () => {
      const estimate = createEstimate();
      Array.from({ length: 5 }).forEach((_, index) => estimate.observe(index, 'good', index));
      estimate.observe(1_500, 'failed');
      const before = estimate.unhealthyProbabilityAt(1_530);
      estimate.observe(1_530, 'good', 20);
      expect(estimate.unhealthyProbabilityAt(1_530)).toBeCloseTo(before, 1);
      estimate.observe(1_600, 'good', 1_560);
      expect(estimate.unhealthyProbabilityAt(1_600)).toBeLessThan(before);
    });

    it('treats a single failure as chance when the target was healthy just before it', () => {
      const estimate = createEstimate();
      Array.from({ length: 5 }).forEach((_, index) => estimate.observe(index, 'good', index));
      estimate.observe(1_000, 'failed');
      expect(estimate.unhealthyProbabilityAt(1_000)).toBeGreaterThan(0.5);
      estimate.observe(1_400, 'good', 980);
      expect(estimate.unhealthyProbabilityAt(1_400)).toBeLessThan(0.2);
    });

    it('stays unhealthy after a second failure despite good answers to earlier requests', () => {
      const estimate = createEstimate();
      Array.from({ length: 5 }).forEach((_, index) => estimate.observe(index, 'good', index));
      estimate.observe(1_000, 'failed');
      estimate.observe(1_010, 'failed');
      estimate.observe(1_400, 'good', 980);
      expect(estimate.unhealthyProbabilityAt(1_400)).toBeGreaterThan(0.7);
    });

    it('rates a target as healthy after two good answers', () => {
      const estimate = createEstimate();
      estimate.observe(10, 'good');
      estimate.observe(20, 'good');
      expect(estimate.unhealthyProbabilityAt(20)).toBeLessThan(0.05);
    });
  });

  describe('over time', () => {
    it('stays unhealthy for most of an episode and recovers soon after it', () => {
      const estimate = createEstimate();
      estimate.observe(0, 'failed');
      expect(estimate.unhealthyProbabilityAt(6_000)).toBeGreaterThan(0.8);
      expect(estimate.unhealthyProbabilityAt(12_000)).toBeLessThan(0.25);
    });

    it('returns slowly to the prior for a healthy target without observations', () => {
      const estimate = createEstimate();
      estimate.observe(0, 'good');
      estimate.observe(1, 'good');
      estimate.observe(2, 'good');
      const soon = estimate.unhealthyProbabilityAt(500);
      const later = estimate.unhealthyProbabilityAt(5_000);
      expect(soon).toBeLessThan(0.05);
      expect(later).toBeGreaterThan(soon);
      expect(estimate.unhealthyProbabilityAt(1e9)).toBeCloseTo(
        DEFAULT_HEALTH_MODEL_PARAMETERS.unhealthyFraction,
        5,
      );
    });

    it('does not change for times before the last observation', () => {
      const estimate = createEstimate();
      estimate.observe(100, 'failed');
      expect(estimate.unhealthyProbabilityAt(50)).toBe(estimate.unhealthyProbabilityAt(100));
    });
  });

  describe('episode length', () => {
    it('grows after failures later than the expected length', () => {
      const length = new EpisodeLength();
      const estimate = createEstimate(length);
      estimate.observe(0, 'failed');
      const before = length.milliseconds;
      estimate.observe(before + 4_000, 'failed');
      expect(length.milliseconds).toBe(before + 800);
    });

    it('shrinks after recoveries earlier than the expected length', () => {
      const length = new EpisodeLength();
      const estimate = createEstimate(length);
      const before = length.milliseconds;
      estimate.observe(0, 'failed');
      Array.from({ length: 6 }).forEach((_, index) => estimate.observe(2_000 + index, 'good'));
      expect(length.milliseconds).toBeLessThan(before);
    });
  });
});
