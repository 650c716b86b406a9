/** A usual policy: at each interval, out goes the target whose latency percentile stands out. */
import type { ObservedResult } from '@cactusrun/core';
import TimedEjection from './TimedEjection.js';

const INTERVAL_MILLISECONDS = 10_000;
const MINIMUM_SAMPLES = 10;
const OUTLIER_FACTOR = 3;
const PERCENTILE = 0.9;

export default class LatencyPercentileOutlier extends TimedEjection {
  private readonly samples = new Map<string, number[]>();

  private intervalEnd = INTERVAL_MILLISECONDS;

  protected note(target: string, result: ObservedResult, elapsed: number): void {
    if (result === 'cancelled' || result === 'shed') return;
    const samples = this.samples.get(target) ?? [];
    samples.push(elapsed);
    this.samples.set(target, samples);
    if (this.clock.now() < this.intervalEnd) return;
    this.intervalEnd = this.clock.now() + INTERVAL_MILLISECONDS;
    this.review();
  }

  private review(): void {
    const percentiles = [...this.samples]
      .filter(([, samples]) => samples.length >= MINIMUM_SAMPLES)
      .map(([name, samples]) => ({ name, value: percentileOf(samples) }));
    const middle = percentileOf(
      percentiles.map(({ value }) => value),
      0.5,
    );
    percentiles
      .filter(({ value }) => value > middle * OUTLIER_FACTOR)
      .forEach(({ name }) => this.eject(name));
    this.samples.clear();
  }
}

function percentileOf(values: readonly number[], share = PERCENTILE): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
