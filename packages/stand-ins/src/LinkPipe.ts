import type { Clock } from '@cactusrun/core';

const BITS_PER_BYTE = 8;
const MILLISECONDS_PER_SECOND = 1_000;

/** The narrow part of a link in one direction: bytes leave it one after another. */
export default class LinkPipe {
  public bytes = 0;

  private freeAt = 0;

  constructor(
    private readonly bitsPerSecond: number,
    private readonly clock: Clock,
  ) {}

  /** Time until the bytes have left the pipe. */
  public occupy(bytes: number): number {
    this.bytes += bytes;
    const now = this.clock.now();
    const duration = (bytes * BITS_PER_BYTE * MILLISECONDS_PER_SECOND) / this.bitsPerSecond;
    this.freeAt = Math.max(now, this.freeAt) + duration;
    return this.freeAt - now;
  }

  /** Time that a newcomer would wait. */
  public get backlogMilliseconds(): number {
    return Math.max(0, this.freeAt - this.clock.now());
  }
}
