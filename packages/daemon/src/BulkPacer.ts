/**
 * Delay-based congestion control for long bodies. The receiver acknowledges each piece; when the
 * time to the acknowledgement rises above the shortest one measured, bytes are queueing on the
 * network path, and the window shrinks. Short requests on the same link then wait only briefly, and
 * several long bodies share the link without coordination.
 */

/** Queueing delay on the network path that the window aims at. */
const TARGET_QUEUEING_MILLISECONDS = 12;
const INITIAL_WINDOW_PIECES = 4;
const MINIMUM_WINDOW_PIECES = 2;
const MAXIMUM_WINDOW_PIECES = 512;
const DECREASE_FACTOR = 0.85;
/** The shortest delay is measured anew after this time, as the network path may have changed. */
const BASE_DELAY_TTL_MILLISECONDS = 10_000;

export default class BulkPacer {
  private window = INITIAL_WINDOW_PIECES;

  private isSlowStart = true;

  private baseDelayMilliseconds = Number.POSITIVE_INFINITY;

  private baseMeasuredAt = 0;

  private lastDecreaseAt = Number.NEGATIVE_INFINITY;

  private readonly sentAt: number[] = [];

  private wakeSender: (() => void) | undefined;

  /** @param now - monotonic milliseconds */
  constructor(private readonly now: () => number) {}

  /** Number of pieces that may be in flight. */
  public get windowSize(): number {
    return this.window;
  }

  /** Waits until another piece may be sent, and counts it as in flight. */
  public async acquire(): Promise<void> {
    while (this.sentAt.length >= this.window) {
      // eslint-disable-next-line no-await-in-loop
      await new Promise<void>((resolve) => {
        this.wakeSender = resolve;
      });
    }
    this.sentAt.push(this.now());
  }

  /** Records that the receiver has accepted the oldest piece in flight. */
  public acknowledge(): void {
    const sentAt = this.sentAt.shift();
    if (sentAt !== undefined) this.adjust(this.now() - sentAt);
    this.release();
  }

  /** Lifts the limit, because no more acknowledgements will arrive. */
  public end(): void {
    this.window = Number.POSITIVE_INFINITY;
    this.release();
  }

  private release(): void {
    this.wakeSender?.();
    this.wakeSender = undefined;
  }

  private adjust(milliseconds: number): void {
    const now = this.now();
    if (
      milliseconds <= this.baseDelayMilliseconds ||
      now - this.baseMeasuredAt > BASE_DELAY_TTL_MILLISECONDS
    ) {
      this.baseDelayMilliseconds = milliseconds;
      this.baseMeasuredAt = now;
    }
    if (milliseconds - this.baseDelayMilliseconds > TARGET_QUEUEING_MILLISECONDS) this.shrink(now);
    else this.grow();
  }

  private grow(): void {
    const step = this.isSlowStart ? 1 : 1 / this.window;
    this.window = Math.min(MAXIMUM_WINDOW_PIECES, this.window + step);
  }

  /** Shrinks at most once per round trip, since later measurements show the same queue. */
  private shrink(now: number): void {
    this.isSlowStart = false;
    if (now - this.lastDecreaseAt < this.baseDelayMilliseconds) return;
    this.lastDecreaseAt = now;
    this.window = Math.max(MINIMUM_WINDOW_PIECES, this.window * DECREASE_FACTOR);
  }
}
