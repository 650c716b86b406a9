/**
 * Counts the bytes that a daemon holds for requests and their answers, and bounds them together. What
 * would exceed the bound is not read yet, or refused. Small bodies have a part of the budget of their
 * own, so that a few large ones do not keep them out.
 */
import type { Clock, Counters } from '@cactusrun/core';

/** Bodies up to this size are small. */
export const SMALL_BODY_BYTES = 65_536;
/** Share of the budget that only small bodies may use. */
const SMALL_BODIES_SHARE = 1 / 8;
/** Change of what is held after which its gauge is set anew. */
const REPORT_STEP_BYTES = 1_048_576;

/** A large body that has not been read and waits for room. */
interface WaitingBody {
  readonly bytes: number;
  /** Ends its wait. */
  readonly settle: (isHeld: boolean) => void;
}

export default class MemoryBudget {
  private bytes = 0;

  /** Value of the gauge, which small bodies leave as it is. */
  private reportedBytes = 0;

  /** Bytes out of these of answers that callers have not read. */
  private answerBytes = 0;

  /** In the order of arrival. */
  private waiting: readonly WaitingBody[] = [];

  /** @param limitBytes - bytes that may be held at the same time */
  constructor(
    private readonly limitBytes: number,
    private readonly clock: Clock,
    private readonly counters: Counters,
  ) {
    counters.set('held_body_bytes', 0);
  }

  /** Bytes held now. */
  public get heldBytes(): number {
    return this.bytes;
  }

  /**
   * Holds bytes if there is room.
   *
   * @param bodyBytes - bytes of the body to which they belong, as far as it is known
   */
  public tryHold(bytes: number, bodyBytes: number): boolean {
    if (this.bytes + bytes > this.limitFor(bodyBytes)) return false;
    this.change(bytes);
    return true;
  }

  /** Holds the bytes of a large body if there is room and no other one waits for it. */
  public tryHoldInTurn(bytes: number): boolean {
    return this.waiting.length === 0 && this.tryHold(bytes, bytes);
  }

  /** Holds an answer for its caller, even beyond the limit: it is in memory already. */
  public holdAnswer(bytes: number): void {
    this.answerBytes += bytes;
    this.change(bytes);
  }

  public releaseAnswer(bytes: number): void {
    this.answerBytes -= bytes;
    this.release(bytes);
  }

  /** Gives bytes back, and admits the bodies that waited for them. */
  public release(bytes: number): void {
    this.change(-bytes);
    this.admitWaiting();
  }

  /**
   * Waits until the bytes of a large body are held, after those of bodies that came before. It ends
   * at once when those that wait would exceed the budget by themselves.
   *
   * @returns whether the bytes are held; false also when the time is over or the signal aborted
   */
  public async awaitRoom(
    bytes: number,
    milliseconds: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const waitingBytes = this.waiting.reduce((sum, body) => sum + body.bytes, bytes);
    if (waitingBytes > this.limitFor(bytes) || signal.aborted) return false;
    return new Promise((resolve) => {
      const body = { bytes, settle: resolve };
      const giveUp = () => this.giveUp(body);
      const cancelTimer = this.clock.after(milliseconds, giveUp);
      signal.addEventListener('abort', giveUp, { once: true });
      body.settle = (isHeld) => {
        cancelTimer();
        signal.removeEventListener('abort', giveUp);
        resolve(isHeld);
      };
      this.waiting = [...this.waiting, body];
    });
  }

  private limitFor(bodyBytes: number): number {
    // Answers that callers do not read take the room of large bodies, and not that of small ones.
    const isSmall = bodyBytes <= SMALL_BODY_BYTES;
    return isSmall
      ? this.limitBytes + this.answerBytes
      : this.limitBytes * (1 - SMALL_BODIES_SHARE);
  }

  private giveUp(body: WaitingBody): void {
    this.waiting = this.waiting.filter((other) => other !== body);
    body.settle(false);
    this.admitWaiting();
  }

  private admitWaiting(): void {
    const [first, ...others] = this.waiting;
    if (first === undefined || !this.tryHold(first.bytes, first.bytes)) return;
    this.waiting = others;
    first.settle(true);
    this.admitWaiting();
  }

  private change(bytes: number): void {
    this.bytes += bytes;
    if (Math.abs(this.bytes - this.reportedBytes) < REPORT_STEP_BYTES) return;
    this.reportedBytes = this.bytes;
    this.counters.set('held_body_bytes', this.bytes);
  }
}
