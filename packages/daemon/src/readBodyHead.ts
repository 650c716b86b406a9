/** Reads the beginning of a request's body and limits the length of the rest. */
import type { IncomingMessage } from 'node:http';
import { Transform } from 'node:stream';
import type { Clock } from '@cactusrun/core';
import type { RequestBody } from '@cactusrun/requests';

/** A shorter body is read completely before the request is handled. */
export const BODY_HEAD_BYTES = 64 * 1024;

export type BodyHead =
  | { readonly kind: 'read'; readonly body: RequestBody }
  | { readonly kind: 'too-slow' }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'cut' };

function boundedRest(request: IncomingMessage, headBytes: number, limitBytes: number): Transform {
  let size = headBytes;
  const rest = new Transform({
    transform(chunk: Buffer, _encoding, done) {
      size += chunk.length;
      if (size > limitBytes) done(new Error('request body exceeds the maximum length'));
      else done(null, chunk);
    },
  });
  // The body of a refused request stays unread; its truncation must not cause an uncaught error.
  rest.on('error', () => {});
  request.on('aborted', () => rest.destroy(new Error('request body was truncated')));
  request.on('error', (error) => rest.destroy(error));
  request.pipe(rest);
  return rest;
}

/**
 * Reads until the body ends or BODY_HEAD_BYTES have arrived.
 *
 * @param limitBytes - maximum length of the whole body
 * @param timeoutMilliseconds - longest wait for the head
 */
export function readBodyHead(
  request: IncomingMessage,
  limitBytes: number,
  timeoutMilliseconds: number,
  clock: Clock,
): Promise<BodyHead> {
  const announced = Number(request.headers['content-length'] ?? 0);
  if (announced > limitBytes) return Promise.resolve({ kind: 'too-large' });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let cleanUp = () => {};
    const finish = (result: BodyHead) => {
      cleanUp();
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      size += chunk.length;
      if (size < BODY_HEAD_BYTES) return;
      request.pause();
      request.off('data', onData);
      const rest = boundedRest(request, size, limitBytes);
      finish({ kind: 'read', body: { head: Buffer.concat(chunks), isWhole: false, rest } });
    };
    const onEnd = () => {
      finish({ kind: 'read', body: { head: Buffer.concat(chunks), isWhole: true } });
    };
    const onClose = () => finish({ kind: 'cut' });
    const cancel = clock.after(timeoutMilliseconds, () => finish({ kind: 'too-slow' }));
    cleanUp = () => {
      cancel();
      request.off('data', onData);
      request.off('end', onEnd);
      request.off('close', onClose);
    };
    request.on('data', onData);
    request.on('end', onEnd);
    request.on('close', onClose);
  });
}
