/** An output for log lines that never blocks the process and never holds more than a bound. */
import { Writable } from 'node:stream';
import type Counters from './Counters.js';

/** Lines that wait for a slow reader take at most this much memory. */
const WAITING_BYTES = 262_144;

interface PipeHandle {
  setBlocking?(isBlocking: boolean): number;
}

/**
 * Wraps a stream: while the reader lags by more than the bound, lines are dropped and counted. A
 * pipe, which Node writes to synchronously by default, is made asynchronous.
 */
export default function boundedOutput(stream: NodeJS.WriteStream, counters: Counters): Writable {
  const { _handle: handle } = stream as { _handle?: PipeHandle };
  handle?.setBlocking?.(false);
  return new Writable({
    decodeStrings: false,
    write(line: string, _encoding, done) {
      if (stream.writableLength > WAITING_BYTES) counters.add('log_lines', 'dropped');
      else stream.write(line);
      done();
    },
  });
}
