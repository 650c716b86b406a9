/**
 * Paces a long body by the delay that it causes. Each piece is confirmed by the far side; when the
 * time to confirmation grows beyond the shortest one seen, bytes queue up on the way, and fewer are
 * sent at a time. Short requests on the same link then wait for little, and several long bodies
 * share the link without a word between them.
 */

/** Queueing on the way that is aimed at. */
const TARGET_QUEUE_MILLISECONDS = 12;
const FIRST_WINDOW = 4;
const SMALLEST_WINDOW = 2;
const LARGEST_WINDOW = 512;
const DECREASE_FACTOR = 0.85;
/** The shortest time is believed for this long; the way may have changed since. */
const BASE_MILLISECONDS = 10_000;

export default class BulkPacer {
  private window = FIRST_WINDOW;

  private isStarting = true;

  private base = Number.POSITIVE_INFINITY;

  private baseAt = 0;

  private lastDecrease = Number.NEGATIVE_INFINITY;

  private readonly sentAt: number[] = [];

  private wake: (() => void) | undefined;

  /** @param now - monotonic milliseconds */
  constructor(private readonly now: () => number) {}

  /** Pieces that may be under way. */
  public get windowSize(): number {
    return this.window;
  }

  /** Waits until another piece may be sent, and counts it as sent. */
  public async next(): Promise<void> {
    while (this.sentAt.length >= this.window) {
      // eslint-disable-next-line no-await-in-loop
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    this.sentAt.push(this.now());
  }

  /** The far side took the oldest piece under way. */
  public confirm(): void {
    const sentAt = this.sentAt.shift();
    if (sentAt !== undefined) this.adjust(this.now() - sentAt);
    this.release();
  }

  /** Nothing more will be confirmed: whoever waits goes on. */
  public end(): void {
    this.window = Number.POSITIVE_INFINITY;
    this.release();
  }

  private release(): void {
    this.wake?.();
    this.wake = undefined;
  }

  private adjust(milliseconds: number): void {
    const now = this.now();
    if (milliseconds <= this.base || now - this.baseAt > BASE_MILLISECONDS) {
      this.base = milliseconds;
      this.baseAt = now;
    }
    if (milliseconds - this.base > TARGET_QUEUE_MILLISECONDS) this.shrink(now);
    else this.grow();
  }

  private grow(): void {
    const step = this.isStarting ? 1 : 1 / this.window;
    this.window = Math.min(LARGEST_WINDOW, this.window + step);
  }

  /** Once in the time that a piece is under way, for the next sign tells of the same queue. */
  private shrink(now: number): void {
    this.isStarting = false;
    if (now - this.lastDecrease < this.base) return;
    this.lastDecrease = now;
    this.window = Math.max(SMALLEST_WINDOW, this.window * DECREASE_FACTOR);
  }
}
