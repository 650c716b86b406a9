/**
 * The first part of a target's answer, which is held back until the answer is whole or known to be
 * large. Its bytes count in the memory budget; when there is no room, what has arrived is passed on.
 */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '@cactusrun/core';
import type MemoryBudget from '../memory/MemoryBudget.js';
import BodyCollector from './BodyCollector.js';
import ShortPiecePacer from './ShortPiecePacer.js';

/** Answers up to this size are buffered whole before the caller gets any of them. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576;
/** The most that one read of a connection yields; so much may arrive beyond what is buffered. */
const READ_BYTES = 65_536;

export default class AnswerBuffer {
  private readonly body: BodyCollector;

  private readonly pacer: ShortPiecePacer;

  private heldBytes = 0;

  /** @param memory - what the bytes count in, if anything bounds them */
  constructor(
    response: IncomingMessage,
    clock: Clock,
    private readonly memory: MemoryBudget | undefined,
  ) {
    const statedBytes = Number(response.headers['content-length'] ?? 0);
    this.body = new BodyCollector(Math.min(statedBytes, MAXIMUM_BUFFERED_BYTES + READ_BYTES));
    this.pacer = new ShortPiecePacer(response, clock);
  }

  /** Adds a piece; returns whether further ones may be added, rather than passed on. */
  public add(piece: Buffer): boolean {
    this.body.add(piece);
    this.pacer.count(piece.length);
    return this.holdPiece(piece.length) && this.body.size <= MAXIMUM_BUFFERED_BYTES;
  }

  /** What was added, as one buffer. */
  public join(): Buffer {
    return this.body.join();
  }

  /** Ends the buffering: whoever has the answer now counts its bytes. */
  public release(): void {
    this.pacer.stop();
    if (this.heldBytes > 0) this.memory?.release(this.heldBytes);
    this.heldBytes = 0;
  }

  private holdPiece(bytes: number): boolean {
    if (this.memory === undefined) return true;
    if (!this.memory.tryHold(bytes, this.body.size)) return false;
    this.heldBytes += bytes;
    return true;
  }
}
