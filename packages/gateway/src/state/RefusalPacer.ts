/**
 * Bounds how often the store and peers are asked while what they provide cannot be used. It answers
 * the load of a fleet that has no usable configuration: every daemon would read the store as fast as
 * it answers, and could do nothing with the result.
 */
import type { Clock, Random } from '@cactusrun/core';

/** What a pause precedes. */
export type PacedStep = 'reading-targets' | 'reading-configuration' | 'catching-up' | 'fetching';

interface PauseRange {
  readonly firstMilliseconds: number;
  readonly maximumMilliseconds: number;
}

/** Each pause doubles the one before, up to the maximum. */
const PAUSES: Readonly<Record<PacedStep, PauseRange>> = {
  'reading-targets': { firstMilliseconds: 600, maximumMilliseconds: 1_800 },
  'reading-configuration': { firstMilliseconds: 300, maximumMilliseconds: 1_200 },
  'catching-up': { firstMilliseconds: 400, maximumMilliseconds: 6_400 },
  fetching: { firstMilliseconds: 2_000, maximumMilliseconds: 16_000 },
};
/** Pauses vary by this share in both directions, so that daemons do not call together. */
const JITTER_SHARE = 0.25;

/** Silence of peers after which a daemon reads; above the longest pause between two reads of one. */
const TAKE_OVER_MILLISECONDS = 2_500;
/** Additional silence, drawn anew after each word of a peer: one daemon takes over before the rest. */
const TAKE_OVER_SPREAD_MILLISECONDS = 2_500;

export default class RefusalPacer {
  private readonly counts = new Map<PacedStep, number>();

  /** The read of a peer for which `takeOverAfter` was drawn. */
  private peerReadAt: number | undefined;

  private takeOverAfter = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** The pause before the step is taken again, in milliseconds; longer each time. */
  public nextPause(step: PacedStep): number {
    const count = this.counts.get(step) ?? 0;
    this.counts.set(step, count + 1);
    const { firstMilliseconds, maximumMilliseconds } = PAUSES[step];
    const pause = Math.min(maximumMilliseconds, firstMilliseconds * 2 ** count);
    return pause * (1 - JITTER_SHARE + 2 * JITTER_SHARE * this.random.unit());
  }

  /** Begins the pauses of the step with the shortest one again. */
  public reset(step: PacedStep): void {
    this.counts.delete(step);
  }

  /**
   * Whether no peer reads the store any more.
   *
   * @param peerReadAt - monotonic time of the newest read that a peer announced
   */
  public isTakeOverDue(peerReadAt: number): boolean {
    if (peerReadAt !== this.peerReadAt) {
      this.peerReadAt = peerReadAt;
      const spread = TAKE_OVER_SPREAD_MILLISECONDS * this.random.unit();
      this.takeOverAfter = TAKE_OVER_MILLISECONDS + spread;
    }
    return this.clock.now() - peerReadAt > this.takeOverAfter;
  }
}
