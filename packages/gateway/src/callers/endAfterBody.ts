/** Ends an answer that was written before the request had arrived whole. */
import type { ServerResponse } from 'node:http';
import type { Clock } from '@cactusrun/core';

/** Time in which the caller reads the answer and stops sending. */
const DISCARD_MILLISECONDS = 1_000;

/**
 * Reads what still arrives of the request, without keeping it, before the answer ends and closes the
 * connection. A connection that is closed while bytes are unread is reset, and its caller may lose
 * the answer that it has received.
 */
export default function endAfterBody(response: ServerResponse, clock: Clock): void {
  const { req: request } = response;
  const end = () => response.end();
  const cancelTimer = clock.after(DISCARD_MILLISECONDS, end);
  request.once('end', end);
  request.once('close', end);
  response.once('close', cancelTimer);
  request.resume();
}
