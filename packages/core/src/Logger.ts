import { createConsola } from 'consola';

/** Fields of a log line: the object that changed and its new values. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Logs one line per change of state. Events of single requests are counted instead. */
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
}

export const silentLogger: Logger = { info: () => {}, warn: () => {} };

function writeJsonLine(output: NodeJS.WritableStream, level: string, args: unknown[]): void {
  const [event, fields] = args;
  const line = { time: new Date().toISOString(), level, event, ...(fields as LogFields) };
  output.write(`${JSON.stringify(line)}\n`);
}

/**
 * Creates a structured logger that writes consola's format to a terminal and JSON lines elsewhere.
 *
 * @param host - the host's name, added to every line
 */
export function createLogger(
  host: string,
  output: NodeJS.WriteStream | NodeJS.WritableStream = process.stderr,
): Logger {
  const isTerminal = 'isTTY' in output && output.isTTY === true;
  const logger = isTerminal
    ? createConsola()
    : createConsola({
        reporters: [{ log: (entry) => writeJsonLine(output, entry.type, entry.args) }],
      });
  return {
    info: (event, fields) => logger.info(event, { host, ...fields }),
    warn: (event, fields) => logger.warn(event, { host, ...fields }),
  };
}
