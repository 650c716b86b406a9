import { PassThrough } from 'node:stream';
import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import ShortPiecePacer from '../../connections/ShortPiecePacer.js';

const PIECES = 4_096;
const PAUSE_MILLISECONDS = 20;

describe('ShortPiecePacer', () => {
  let body: PassThrough;
  let clock: ManualClock;
  let pacer: ShortPiecePacer;

  beforeEach(() => {
    body = new PassThrough();
    body.resume();
    clock = new ManualClock();
    pacer = new ShortPiecePacer(body, clock);
  });

  function count(pieces: number, bytes: number): void {
    Array.from({ length: pieces }).forEach(() => pacer.count(bytes));
  }

  it('pauses a body for a moment after many short pieces', async () => {
    count(PIECES - 1, 1);
    expect(body.isPaused()).toBe(false);
    count(1, 1);
    expect(body.isPaused()).toBe(true);
    await clock.advance(PAUSE_MILLISECONDS);
    expect(body.isPaused()).toBe(false);
  });

  it('does not pause a body of long pieces with a few short ones', () => {
    count(PIECES / 2, 1);
    count(PIECES / 2, 1_000);
    count(PIECES, 64);
    expect(body.isPaused()).toBe(false);
  });

  it('does not resume a body that another reader has taken over', async () => {
    count(PIECES, 1);
    pacer.stop();
    await clock.advance(PAUSE_MILLISECONDS);
    expect(body.isPaused()).toBe(true);
  });
});
