/** Reads the body of an answer that nobody needs, as far as that keeps its connection reusable. */
import type { Readable } from 'node:stream';
import type { Clock } from '@cactusrun/core';

/** Body from which the connection is closed rather than read to the end. */
const MAXIMUM_DISCARDED_BYTES = 16_384;
/** Time after which the connection is closed: the body may have no end. */
const MAXIMUM_DISCARD_MILLISECONDS = 1_000;

/** @param close - closes the connection when the body is too long or takes too long */
export default function discardBody(body: Readable, clock: Clock, close: () => void): void {
  let size = 0;
  const cancelTimer = clock.after(MAXIMUM_DISCARD_MILLISECONDS, close);
  body.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > MAXIMUM_DISCARDED_BYTES) close();
  });
  body.on('error', close);
  body.on('close', cancelTimer);
}
