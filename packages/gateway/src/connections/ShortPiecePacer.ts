/**
 * Slows down a body that comes in very short pieces: each piece takes the processor as long as a long
 * one, and one body of this kind would otherwise hold up all other requests of the daemon.
 */
import type { Readable } from 'node:stream';
import type { Clock } from '@cactusrun/core';

/** Pieces after which their mean length is looked at. */
const COUNTED_PIECES = 4_096;
/** Pieces that are shorter than this on average are short. */
const SHORT_PIECE_BYTES = 64;
const PAUSE_MILLISECONDS = 20;

export default class ShortPiecePacer {
  private pieces = 0;

  private bytes = 0;

  private cancelTimer: (() => void) | undefined;

  constructor(
    private readonly body: Readable,
    private readonly clock: Clock,
  ) {}

  /** Counts a piece that has been read, and pauses the body if it and those before it are short. */
  public count(bytes: number): void {
    this.pieces += 1;
    this.bytes += bytes;
    if (this.pieces < COUNTED_PIECES) return;
    const areShort = this.bytes < this.pieces * SHORT_PIECE_BYTES;
    this.pieces = 0;
    this.bytes = 0;
    if (!areShort) return;
    this.body.pause();
    this.cancelTimer = this.clock.after(PAUSE_MILLISECONDS, () => this.body.resume());
  }

  /** Leaves the body to another reader. */
  public stop(): void {
    this.cancelTimer?.();
  }
}
