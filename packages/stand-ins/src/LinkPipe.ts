import type { Clock } from '@cactusrun/core';

const BITS_PER_BYTE = 8;
const MILLISECONDS_PER_SECOND = 1_000;

/** Bandwidth limit of a link in one direction: bytes are transmitted one after another. */
export default class LinkPipe {
  public bytes = 0;

  private freeAt = 0;

  constructor(
    private readonly bitsPerSecond: number,
    private readonly clock: Clock,
  ) {}

  /** Adds bytes to the queue; returns the milliseconds until they have been transmitted. */
  public enqueue(bytes: number): number {
    this.bytes += bytes;
    const now = this.clock.now();
    const durationMilliseconds =
      (bytes * BITS_PER_BYTE * MILLISECONDS_PER_SECOND) / this.bitsPerSecond;
    this.freeAt = Math.max(now, this.freeAt) + durationMilliseconds;
    return this.freeAt - now;
  }

  /** Queueing delay of bytes that are added now. */
  public get backlogMilliseconds(): number {
    return Math.max(0, this.freeAt - this.clock.now());
  }
}
