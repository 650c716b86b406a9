/** Helpers of the bench commands: sections of a page, processor time, linear fits. */
import { appendFile } from 'node:fs/promises';
import process from 'node:process';
import renderMarkdownTable from './renderMarkdownTable.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** A table of figures with a title. */
export interface Section {
  readonly title: string;
  readonly head: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
  /** Conditions of the measurement that a reader needs to interpret the figures. */
  readonly note?: string;
}

export function renderSection(section: Section): string {
  const note = section.note === undefined ? '' : `\n${section.note}\n`;
  return `\n### ${section.title}\n\n${renderMarkdownTable(section.head, section.rows)}${note}`;
}

/** Prints the sections and appends them to the page, if one is given. */
export async function publishSections(
  title: string,
  sections: readonly Section[],
  page: string | undefined,
): Promise<void> {
  const text = `\n## ${title}\n${sections.map(renderSection).join('')}`;
  process.stdout.write(text);
  if (page !== undefined) await appendFile(page, text);
}

/** Processor time that this process has used, in milliseconds. */
export function processorMilliseconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest residual, as a fraction of the largest value. */
  readonly error: number;
}

/** Least-squares line through the points. */
export function fitLine(points: readonly (readonly [number, number])[]): Fit {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const largestValue = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  const largestResidual = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x)));
  return { slope, intercept, error: largestResidual / largestValue };
}

/** Formats a number with three significant digits. */
export function formatFigure(value: number): string {
  return Number.isFinite(value) ? String(Number(value.toPrecision(3))) : String(value);
}
