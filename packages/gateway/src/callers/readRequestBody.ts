/** Reads the body of a caller's request into memory. */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '@cactusrun/core';

/** Longest wait for the next chunk of a body. */
const BODY_INACTIVITY_MILLISECONDS = 10_000;

export type RequestBody =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  | { readonly kind: 'too-large' }
  /** The caller disconnected or stopped sending before the end. */
  | { readonly kind: 'cut' };

/** @param limit - size in bytes from which the body is too large */
export default function readRequestBody(
  request: IncomingMessage,
  limit: number,
  clock: Clock,
): Promise<RequestBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let cancelTimer = () => {};
    const settle = (result: RequestBody) => {
      cancelTimer();
      resolve(result);
    };
    const restartTimer = () => {
      cancelTimer();
      cancelTimer = clock.after(BODY_INACTIVITY_MILLISECONDS, () => settle({ kind: 'cut' }));
    };
    request.on('data', (chunk: Buffer) => {
      restartTimer();
      size += chunk.length;
      if (size > limit) settle({ kind: 'too-large' });
      else chunks.push(chunk);
    });
    request.on('end', () => settle({ kind: 'whole', bytes: Buffer.concat(chunks) }));
    request.on('error', () => settle({ kind: 'cut' }));
    request.on('close', () => settle({ kind: 'cut' }));
    restartTimer();
  });
}
