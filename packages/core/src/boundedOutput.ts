/** An output for log lines that never blocks the process and whose volume is bounded. */
import { Writable } from 'node:stream';
import type { Clock } from './Clock.js';
import type Counters from './Counters.js';

/** Lines that wait for a slow reader take at most this much memory. */
const WAITING_BYTES = 262_144;
/** Lines a second over time, and at once: a few for each of some dozen failing requests. */
const LINES_PER_SECOND = 100;
const LINES_AT_ONCE = 400;
const SECOND_MILLISECONDS = 1_000;

interface PipeHandle {
  setBlocking?(isBlocking: boolean): number;
}

/**
 * Wraps a stream: lines beyond the rate, or while the reader lags, are dropped and counted. A pipe,
 * which Node writes to synchronously by default, is made asynchronous.
 */
export default function boundedOutput(
  stream: NodeJS.WriteStream,
  clock: Clock,
  counters: Counters,
): Writable {
  const { _handle: handle } = stream as { _handle?: PipeHandle };
  handle?.setBlocking?.(false);
  let tokens = LINES_AT_ONCE;
  let filledAt = clock.now();
  const takeToken = () => {
    const now = clock.now();
    const gained = ((now - filledAt) * LINES_PER_SECOND) / SECOND_MILLISECONDS;
    tokens = Math.min(LINES_AT_ONCE, tokens + gained);
    filledAt = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };
  return new Writable({
    decodeStrings: false,
    write(line: string, _encoding, done) {
      if (stream.writableLength > WAITING_BYTES) counters.add('log_lines_dropped', 'slow-reader');
      else if (takeToken()) stream.write(line);
      else counters.add('log_lines_dropped', 'rate');
      done();
    },
  });
}
