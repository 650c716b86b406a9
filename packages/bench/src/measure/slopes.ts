/** What the slope commands share: heap, time, and rows with a fit. */
import process from 'node:process';
import { digits, fitLine } from '../Measurement.js';

/** Heap in use after a collection, in bytes. */
export function heapBytes(): number {
  const collect = (globalThis as { gc?: () => void }).gc;
  if (collect === undefined) throw new Error('start with --expose-gc');
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

export function timed<Value>(run: () => Value): {
  readonly value: Value;
  readonly milliseconds: number;
} {
  const startedAt = performance.now();
  const value = run();
  return { value, milliseconds: performance.now() - startedAt };
}

/** What is kept alive while the heap is measured. */
const kept: unknown[] = [];

export function memoryOf(build: () => unknown): number {
  const before = heapBytes();
  kept.push(build());
  const after = heapBytes();
  kept.pop();
  return after - before;
}

/** A row of a table of slopes. */
export function slopeRow(
  name: string,
  unit: string,
  points: readonly (readonly [number, number])[],
): readonly (string | number)[] {
  const { slope, intercept, error } = fitLine(points);
  return [
    name,
    points.map(([x, y]) => `${x}: ${digits(y)}`).join(', '),
    `${digits(slope)} ${unit}`,
    digits(intercept),
    `${digits(error * 100)}%`,
  ];
}

export const SLOPE_HEAD = ['quantity', 'size: value', 'slope', 'intercept', 'error of the fit'];
