/** Log output that never blocks the process and has a bounded rate. */
import { Writable } from 'node:stream';
import type { Clock } from './Clock.js';
import type Counters from './Counters.js';

/** Maximum size of the lines that a slow reader has not consumed yet. */
const BUFFER_BYTES = 262_144;
/** Sustained rate and burst size: a few lines for each of some dozen failing requests. */
const LINES_PER_SECOND = 100;
const BURST_LINES = 400;
const MILLISECONDS_PER_SECOND = 1_000;

interface PipeHandle {
  setBlocking?(isBlocking: boolean): number;
}

/**
 * Wraps a stream; drops and counts lines above the rate limit and lines written while the reader
 * lags. Makes pipes asynchronous, because Node writes to them synchronously by default.
 */
export default function boundedOutput(
  stream: NodeJS.WriteStream,
  clock: Clock,
  counters: Counters,
): Writable {
  const { _handle: handle } = stream as { _handle?: PipeHandle };
  handle?.setBlocking?.(false);
  let tokens = BURST_LINES;
  let refilledAt = clock.now();
  const takeToken = () => {
    const now = clock.now();
    const refilled = ((now - refilledAt) * LINES_PER_SECOND) / MILLISECONDS_PER_SECOND;
    tokens = Math.min(BURST_LINES, tokens + refilled);
    refilledAt = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };
  return new Writable({
    decodeStrings: false,
    write(line: string, _encoding, done) {
      if (stream.writableLength > BUFFER_BYTES) counters.add('log_lines_dropped', 'slow-reader');
      else if (takeToken()) stream.write(line);
      else counters.add('log_lines_dropped', 'rate');
      done();
    },
  });
}
