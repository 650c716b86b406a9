import type { Histogram } from 'hdr-histogram-js';
import { build } from 'hdr-histogram-js';

const MICROSECONDS_PER_MILLISECOND = 1000;

/** Percentiles of a duration, in milliseconds. */
export interface TimingSummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly maximum: number;
}

/** Durations in a high dynamic range histogram, which stores them in microseconds. */
export default class Timing {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 2,
  });

  public record(milliseconds: number): void {
    this.histogram.recordValue(
      Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)),
    );
  }

  public summary(): TimingSummary {
    const at = (percentile: number) =>
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    return {
      count: this.histogram.totalCount,
      p50: at(50),
      p99: at(99),
      maximum: this.histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
    };
  }
}
