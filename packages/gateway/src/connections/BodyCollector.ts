/**
 * Collects a body that arrives in pieces. The memory that it takes follows from the bytes of the body
 * and not from the number of pieces: an object for each short piece takes many times its content.
 */

/** Size of the first block of a body whose length is not known. */
const FIRST_BLOCK_BYTES = 4_096;
/** Later blocks are as large as what has arrived, up to this size. */
const LARGEST_BLOCK_BYTES = 1_048_576;

export default class BodyCollector {
  private readonly fullBlocks: Buffer[] = [];

  /** The block that is being filled; at first the first piece itself, which leaves no room. */
  private block: Buffer = Buffer.alloc(0);

  private usedBytes = 0;

  private totalBytes = 0;

  /** @param expectedBytes - length of the body, or 0 if it is not known; more may arrive */
  constructor(private readonly expectedBytes: number) {}

  /** Bytes collected so far. */
  public get size(): number {
    return this.totalBytes;
  }

  /** Adds a piece. It is kept as it is when nothing came before it, and copied otherwise. */
  public add(piece: Buffer): void {
    if (this.totalBytes === 0) {
      this.block = piece;
      this.usedBytes = piece.length;
    } else {
      if (piece.length > this.block.length - this.usedBytes) this.startBlock(piece.length);
      this.usedBytes += piece.copy(this.block, this.usedBytes);
    }
    this.totalBytes += piece.length;
  }

  /** What has been collected, as one buffer. */
  public join(): Buffer {
    const last = this.block.subarray(0, this.usedBytes);
    if (this.fullBlocks.length === 0) return last;
    return Buffer.concat([...this.fullBlocks, last], this.totalBytes);
  }

  private startBlock(neededBytes: number): void {
    const filled = this.block.subarray(0, this.usedBytes);
    if (this.totalBytes + neededBytes <= this.expectedBytes && this.fullBlocks.length === 0) {
      this.block = Buffer.allocUnsafe(this.expectedBytes);
      filled.copy(this.block);
      return;
    }
    this.fullBlocks.push(filled);
    const size = Math.min(LARGEST_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.totalBytes));
    this.block = Buffer.allocUnsafe(Math.max(size, neededBytes));
    this.usedBytes = 0;
  }
}
