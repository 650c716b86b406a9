import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '@cactusrun/core';
import { BODY_HEAD_BYTES, readBodyHead } from '../../readBodyHead.js';

describe('readBodyHead', () => {
  const cases = [
    { name: 'whole', chunks: ['lamp'], ends: true, kind: 'read' },
    { name: 'too slow', chunks: ['la'], waits: 1_000, kind: 'too-slow' },
    { name: 'truncated', chunks: ['la'], isCut: true, kind: 'cut' },
    { name: 'announced too large', chunks: [], length: '9999999', kind: 'too-large' },
    { name: 'long', chunks: ['x'.repeat(BODY_HEAD_BYTES)], kind: 'read' },
  ];

  it.each(cases)('$name', async ({ chunks, ends, waits, isCut, length, kind }) => {
    const clock = new ManualClock();
    const stream = Object.assign(new PassThrough(), { headers: { 'content-length': length } });
    const request = stream as unknown as IncomingMessage;
    const reading = readBodyHead(request, 1_000_000, 1_000, clock);
    chunks.forEach((chunk) => stream.write(chunk));
    if (ends) stream.end();
    if (isCut) stream.destroy();
    await clock.advance(waits ?? 0);
    expect((await reading).kind).toBe(kind);
  });
});
