/** Parses the lines of a daemon's log. */

type LogFields = Record<string, unknown>;

export interface LogEntry {
  /** Milliseconds since the epoch. */
  readonly time: number;
  readonly event: string;
  readonly host: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses one line, ignoring any text before its JSON; undefined if a daemon did not log it. */
export function parseLogEntry(line: string): LogEntry | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  try {
    const { time, event, host, ...fields } = JSON.parse(line.slice(start)) as LogFields;
    const at = Date.parse(String(time));
    if (Number.isNaN(at) || typeof event !== 'string' || typeof host !== 'string') return undefined;
    return { time: at, event, host, fields };
  } catch {
    return undefined;
  }
}
