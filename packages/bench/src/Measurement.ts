/** What the bench commands share: sections of a page, processor time, straight-line fits. */
import { appendFile } from 'node:fs/promises';
import process from 'node:process';
import renderMarkdownTable from './renderMarkdownTable.js';

const MICROSECONDS_PER_MILLISECOND = 1_000;

/** A titled table of figures. */
export interface Section {
  readonly title: string;
  readonly head: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
  /** What a reader must know to judge the figures. */
  readonly note?: string;
}

export function renderSection(section: Section): string {
  const note = section.note === undefined ? '' : `\n${section.note}\n`;
  return `\n### ${section.title}\n\n${renderMarkdownTable(section.head, section.rows)}${note}`;
}

/** Prints the sections, and appends them to a page if one is named. */
export async function publishSections(
  title: string,
  sections: readonly Section[],
  page: string | undefined,
): Promise<void> {
  const text = `\n## ${title}\n${sections.map(renderSection).join('')}`;
  process.stdout.write(text);
  if (page !== undefined) await appendFile(page, text);
}

/** Processor time of this process in milliseconds. */
export function processorMilliseconds(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance of a point from the line, as a share of the largest value. */
  readonly error: number;
}

/** The straight line of least squares through the points. */
export function fitLine(points: readonly (readonly [number, number])[]): Fit {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE);
  const distance = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x)));
  return { slope, intercept, error: distance / largest };
}

/** A number with three significant digits. */
export function digits(value: number): string {
  return Number.isFinite(value) ? String(Number(value.toPrecision(3))) : String(value);
}
