/** Reads the body of a caller's request into memory. */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '@cactusrun/core';
import BodyCollector from '../connections/BodyCollector.js';
import ShortPiecePacer from '../connections/ShortPiecePacer.js';

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
    const body = new BodyCollector(Math.min(limit, Number(request.headers['content-length'] ?? 0)));
    const pacer = new ShortPiecePacer(request, clock);
    let cancelTimer = () => {};
    const settle = (result: RequestBody) => {
      cancelTimer();
      pacer.stop();
      resolve(result);
    };
    const restartTimer = () => {
      cancelTimer();
      cancelTimer = clock.after(BODY_INACTIVITY_MILLISECONDS, () => settle({ kind: 'cut' }));
    };
    request.on('data', (chunk: Buffer) => {
      restartTimer();
      if (body.size + chunk.length > limit) settle({ kind: 'too-large' });
      else body.add(chunk);
      pacer.count(chunk.length);
    });
    request.on('end', () => settle({ kind: 'whole', bytes: body.join() }));
    request.on('error', () => settle({ kind: 'cut' }));
    request.on('close', () => settle({ kind: 'cut' }));
    restartTimer();
  });
}
