/** Renders query rows as a table, or as JSON for programs. */
import Table from 'cli-table3';
import type { Row } from './OperatorClient.js';

export interface RenderOptions {
  readonly isJson: boolean;
  /** Set only when the output is a terminal. */
  readonly hasColours: boolean;
}

function plainStyle() {
  return { head: [], border: [] };
}

/** Renders the rows in the requested format, with a trailing newline. */
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
