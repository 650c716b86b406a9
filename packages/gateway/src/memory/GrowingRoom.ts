/**
 * Room for a body whose length is not stated, which is held as the body grows. When there is none, the
 * newest of these bodies gives way, so that they never wait for each other.
 */
import type { BodyRoom } from './BodyRoom.js';
import type MemoryBudget from './MemoryBudget.js';

/** The body is in memory twice while its blocks are joined. */
const COPIES_WHILE_JOINED = 2;

export default class GrowingRoom implements BodyRoom {
  private bytes = 0;

  /**
   * @param growing - bodies that are being read, in the order of their arrival; this one joins them
   * @param onGiveWay - called when this body must not be read further
   */
  constructor(
    private readonly memory: MemoryBudget,
    private readonly growing: Set<GrowingRoom>,
    private readonly onGiveWay: () => void,
  ) {
    growing.add(this);
  }

  public take(bytes: number): boolean {
    const neededBytes = bytes * COPIES_WHILE_JOINED;
    if (this.memory.tryHold(neededBytes, this.bytes + neededBytes)) {
      this.bytes += neededBytes;
      return true;
    }
    const newest = [...this.growing].at(-1);
    if (newest === undefined || newest === this) return false;
    newest.release();
    newest.onGiveWay();
    return this.take(bytes);
  }

  public complete(): void {
    this.growing.delete(this);
    this.shrinkTo(this.bytes / COPIES_WHILE_JOINED);
  }

  public release(): void {
    this.growing.delete(this);
    this.shrinkTo(0);
  }

  private shrinkTo(bytes: number): void {
    const excess = this.bytes - bytes;
    this.bytes = bytes;
    if (excess > 0) this.memory.release(excess);
  }
}
