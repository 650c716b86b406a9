/**
 * What this daemon may send again of one service, so that the fleet stays within its retry budget: in
 * a sliding window, `ratio` of the requests plus a fixed allowance. Two bounds hold together. The
 * daemons of a region tell one another of their sendings, and stop when the region has used up its
 * part. Besides, every daemon has a bucket of tokens that gains `ratio` a request: one that hears
 * nobody keeps to its share of the fixed allowance, so that the budget holds without a word.
 */
import type { Clock } from '@cactusrun/core';

/** Part of the fixed allowance that is handed out, so that a restarted daemon's new bucket fits. */
const ALLOWANCE_SHARE = 0.6;
/** Shares of the allowance that a daemon may save up while it hears what others spend. */
const SAVED_SHARES = 6;
/** Part of a region's budget that is used; the rest is for sendings that are told too late. */
const REGION_SHARE = 0.8;
const SLOT_MILLISECONDS = 1_000;
/** A daemon that has heard nothing for this long keeps to its own share. */
const HEARD_MILLISECONDS = 3_000;

export interface RetryBudgetTerms {
  /** Retries per fresh request. */
  readonly ratio: number;
  /** Further retries in one window, fleet-wide. */
  readonly allowance: number;
  readonly windowMilliseconds: number;
  /** Regions, which do not hear one another. */
  readonly regions: number;
}

/** Sendings within one slot of the window. */
interface Slot {
  readonly number: number;
  fresh: number;
  repeated: number;
}

export default class RetryAllowance {
  private tokens: number;

  private slots: readonly Slot[] = [];

  private heardAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly terms: RetryBudgetTerms,
    private readonly countMembers: () => number,
    private readonly clock: Clock,
  ) {
    this.tokens = this.share;
  }

  /** Counts a fresh request of this daemon. */
  public deposit(): void {
    const isHearing = this.clock.now() - this.heardAt < HEARD_MILLISECONDS;
    const capacity = this.share * (isHearing ? SAVED_SHARES : 1);
    this.tokens = Math.min(capacity, this.tokens + this.terms.ratio);
    this.slot().fresh += 1;
  }

  /** Takes a token for one further sending, if there is one. */
  public withdraw(): boolean {
    if (this.tokens < 1 || this.isRegionSpent()) return false;
    this.tokens -= 1;
    this.slot().repeated += 1;
    return true;
  }

  /** A peer of the region sent a request, for the first time or again. */
  public hear(isRepeated: boolean): void {
    this.heardAt = this.clock.now();
    if (isRepeated) this.slot().repeated += 1;
    else this.slot().fresh += 1;
  }

  private isRegionSpent(): boolean {
    const { ratio, allowance, regions, windowMilliseconds } = this.terms;
    const oldest = this.slotNumber() - Math.ceil(windowMilliseconds / SLOT_MILLISECONDS);
    const recent = this.slots.filter(({ number }) => number >= oldest);
    const fresh = recent.reduce((sum, slot) => sum + slot.fresh, 0);
    const repeated = recent.reduce((sum, slot) => sum + slot.repeated, 0);
    return repeated + 1 > REGION_SHARE * (ratio * fresh + allowance / Math.max(1, regions));
  }

  /** The slot of the present time; those before the window are dropped. */
  private slot(): Slot {
    const number = this.slotNumber();
    const newest = this.slots.at(-1);
    if (newest?.number === number) return newest;
    const slot = { number, fresh: 0, repeated: 0 };
    const oldest = number - Math.ceil(this.terms.windowMilliseconds / SLOT_MILLISECONDS);
    this.slots = [...this.slots.filter((one) => one.number >= oldest), slot];
    return slot;
  }

  private slotNumber(): number {
    return Math.floor(this.clock.now() / SLOT_MILLISECONDS);
  }

  private get share(): number {
    const share = (this.terms.allowance * ALLOWANCE_SHARE) / Math.max(1, this.countMembers());
    return Math.max(1, share);
  }
}
