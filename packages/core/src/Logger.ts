import { createConsola } from 'consola';

/** Fields of a log line: what changed, and the values it changed to. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one line for each change of state. Anything that happens per request is a counter. */
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
}

/** A logger that writes nothing. */
export const silentLogger: Logger = { info: () => {}, warn: () => {} };

function writeJsonLine(output: NodeJS.WritableStream, level: string, args: unknown[]): void {
  const [event, fields] = args;
  const line = { time: new Date().toISOString(), level, event, ...(fields as LogFields) };
  output.write(`${JSON.stringify(line)}\n`);
}

/**
 * A structured logger: JSON lines when the output is no terminal, consola's own form on one.
 *
 * @param host - the host's name, which stands in every line
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
