/** Helpers of the slope measurements: heap, time, and table rows with a linear fit. */
import process from 'node:process';
import { fitLine, formatFigure } from '../Measurement.js';

/** Heap in use after a garbage collection, in bytes. */
export function heapBytes(): number {
  const collect = (globalThis as { gc?: () => void }).gc;
  if (collect === undefined) throw new Error('heap measurements require node --expose-gc');
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

export function measureTime<Value>(run: () => Value): {
  readonly value: Value;
  readonly milliseconds: number;
} {
  const startedAt = performance.now();
  const value = run();
  return { value, milliseconds: performance.now() - startedAt };
}

/** Keeps built objects reachable while the heap is measured. */
const retained: unknown[] = [];

export function measureMemory(build: () => unknown): number {
  const before = heapBytes();
  retained.push(build());
  const after = heapBytes();
  retained.pop();
  return after - before;
}

/** Table row with the points and the line fitted to them. */
export function slopeRow(
  name: string,
  unit: string,
  points: readonly (readonly [number, number])[],
): readonly (string | number)[] {
  const { slope, intercept, error } = fitLine(points);
  return [
    name,
    points.map(([x, y]) => `${x}: ${formatFigure(y)}`).join(', '),
    `${formatFigure(slope)} ${unit}`,
    formatFigure(intercept),
    `${formatFigure(error * 100)}%`,
  ];
}

export const SLOPE_HEAD = ['quantity', 'size: value', 'slope', 'intercept', 'error of the fit'];
