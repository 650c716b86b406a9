/**
 * The answers that this daemon holds for callers which have not read them yet, in bytes. When many
 * callers read slowly at once, the memory of the host would not hold all of their answers; then those
 * of the slowest readers give way.
 */
import type MemoryBudget from '../memory/MemoryBudget.js';

/** An answer that has been begun and that its caller has not taken whole yet. */
export interface HeldAnswer {
  /** Bytes of its body in memory. */
  readonly bytes: number;
  /** Ends the caller's connection, so that the answer does not look complete. */
  readonly cut: () => void;
}

export default class HeldAnswers {
  /** In the order in which they were begun: the first one's reader is the slowest. */
  private readonly answers = new Set<HeldAnswer>();

  private bytes = 0;

  /**
   * @param limitBytes - bytes that all answers may hold together
   * @param memory - what the answers count in besides, if anything
   */
  constructor(
    private readonly limitBytes: number,
    private readonly memory?: MemoryBudget,
  ) {}

  /** Bytes held now. */
  public get heldBytes(): number {
    return this.bytes;
  }

  /**
   * Holds an answer, and cuts those that have been held longest while all together exceed the limit.
   * An answer is not cut to make room for itself, however large it is.
   *
   * @returns releases the answer, once its caller has taken it or is gone
   */
  public hold(answer: HeldAnswer): () => void {
    this.answers.add(answer);
    this.bytes += answer.bytes;
    this.memory?.holdAnswer(answer.bytes);
    const slowest = this.findSlowest(answer);
    slowest.forEach((other) => this.release(other));
    slowest.forEach(({ cut }) => cut());
    return () => this.release(answer);
  }

  /** The slowest readers' answers without which the others are within the limit. */
  private findSlowest(newest: HeldAnswer): readonly HeldAnswer[] {
    if (this.bytes <= this.limitBytes) return [];
    let excess = this.bytes - this.limitBytes;
    return [...this.answers].filter((answer) => {
      if (excess <= 0 || answer === newest) return false;
      excess -= answer.bytes;
      return true;
    });
  }

  private release(answer: HeldAnswer): void {
    if (!this.answers.delete(answer)) return;
    this.bytes -= answer.bytes;
    this.memory?.releaseAnswer(answer.bytes);
  }
}
