import { Counter, Gauge, Registry } from 'prom-client';
import type { TimingSummary } from './Timing.js';
import Timing from './Timing.js';

/** The value of one counter for one reason. */
export interface CounterReading {
  readonly name: string;
  readonly reason: string;
  readonly value: number;
}

/**
 * The counters, gauges and durations of one daemon. Each counter has one label, the reason;
 * durations are kept in high dynamic range histograms and exported as percentiles.
 */
export default class Counters {
  private readonly registry = new Registry();

  private readonly counters = new Map<string, Counter<'reason'>>();

  private readonly gauges = new Map<string, Gauge>();

  private readonly timings = new Map<string, Timing>();

  private readonly values = new Map<string, CounterReading>();

  /** Adds to the counter `cactusrun_<name>_total{reason}`. */
  public add(name: string, reason: string, amount = 1): void {
    const counter = this.counters.get(name) ?? this.createCounter(name);
    counter.inc({ reason }, amount);
    const key = `${name} ${reason}`;
    const value = (this.values.get(key)?.value ?? 0) + amount;
    this.values.set(key, { name, reason, value });
  }

  /** The counter's value for the reason; 0 if it was never incremented. */
  public valueOf(name: string, reason: string): number {
    return this.values.get(`${name} ${reason}`)?.value ?? 0;
  }

  /** All counters, sorted by name and reason. */
  public readings(): readonly CounterReading[] {
    return [...this.values.values()].sort(
      (left, right) =>
        left.name.localeCompare(right.name) || left.reason.localeCompare(right.reason),
    );
  }

  /** Sets the gauge `cactusrun_<name>`. */
  public set(name: string, value: number): void {
    const gauge = this.gauges.get(name) ?? this.createGauge(name);
    gauge.set(value);
  }

  /** Records a duration under `cactusrun_<name>_milliseconds`. */
  public time(name: string, milliseconds: number): void {
    const timing = this.timings.get(name) ?? new Timing();
    this.timings.set(name, timing);
    timing.record(milliseconds);
  }

  /** The percentiles of a duration; undefined if none was recorded. */
  public timing(name: string): TimingSummary | undefined {
    return this.timings.get(name)?.summary();
  }

  /** All metrics in the Prometheus text format. */
  public async render(): Promise<string> {
    this.timings.forEach((timing, name) => {
      const { count, p50, p99, maximum } = timing.summary();
      this.set(`${name}_count`, count);
      this.set(`${name}_milliseconds_p50`, p50);
      this.set(`${name}_milliseconds_p99`, p99);
      this.set(`${name}_milliseconds_maximum`, maximum);
    });
    return this.registry.metrics();
  }

  private createCounter(name: string): Counter<'reason'> {
    const counter = new Counter({
      name: `cactusrun_${name}_total`,
      help: `Count of ${name.replaceAll('_', ' ')} by reason`,
      labelNames: ['reason'] as const,
      registers: [this.registry],
    });
    this.counters.set(name, counter);
    return counter;
  }

  private createGauge(name: string): Gauge {
    const gauge = new Gauge({
      name: `cactusrun_${name}`,
      help: name.replaceAll('_', ' '),
      registers: [this.registry],
    });
    this.gauges.set(name, gauge);
    return gauge;
  }
}
