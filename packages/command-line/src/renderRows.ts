/** Prints rows: a table for people, JSON for programs. */
import Table from 'cli-table3';
import type { Row } from './OperatorClient.js';

export interface RenderOptions {
  readonly isJson: boolean;
  /** Colours are for terminals only. */
  readonly hasColours: boolean;
}

function plainStyle() {
  return { head: [], border: [] };
}

/** The rows in the form asked for, with a newline at the end. */
export function renderRows(rows: readonly Row[], options: RenderOptions): string {
  if (options.isJson) return `${JSON.stringify(rows)}\n`;
  if (rows.length === 0) return 'nothing\n';
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const table = new Table({
    head: columns,
    style: options.hasColours ? { head: ['cyan'] } : plainStyle(),
  });
  rows.forEach((row) => table.push(columns.map((column) => String(row[column] ?? ''))));
  return `${table.toString()}\n`;
}
