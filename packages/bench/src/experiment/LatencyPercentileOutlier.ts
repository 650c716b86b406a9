/** Baseline policy: ejects the targets whose latency percentile is an outlier in an interval. */
import type { ObservedResult } from '@cactusrun/core';
import TimedEjection from './TimedEjection.js';

const INTERVAL_MILLISECONDS = 10_000;
const MINIMUM_SAMPLES = 10;
const OUTLIER_FACTOR = 3;
const LATENCY_QUANTILE = 0.9;

export default class LatencyPercentileOutlier extends TimedEjection {
  private readonly samples = new Map<string, number[]>();

  private intervalEnd = INTERVAL_MILLISECONDS;

  protected recordResult(
    target: string,
    result: ObservedResult,
    elapsedMilliseconds: number,
  ): void {
    if (result === 'cancelled' || result === 'shed') return;
    const samples = this.samples.get(target) ?? [];
    samples.push(elapsedMilliseconds);
    this.samples.set(target, samples);
    if (this.clock.now() < this.intervalEnd) return;
    this.intervalEnd = this.clock.now() + INTERVAL_MILLISECONDS;
    this.ejectOutliers();
  }

  private ejectOutliers(): void {
    const percentiles = [...this.samples]
      .filter(([, samples]) => samples.length >= MINIMUM_SAMPLES)
      .map(([name, samples]) => ({ name, value: quantileOf(samples) }));
    const medianPercentile = quantileOf(
      percentiles.map(({ value }) => value),
      0.5,
    );
    percentiles
      .filter(({ value }) => value > medianPercentile * OUTLIER_FACTOR)
      .forEach(({ name }) => this.eject(name));
    this.samples.clear();
  }
}

function quantileOf(values: readonly number[], quantile = LATENCY_QUANTILE): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}
