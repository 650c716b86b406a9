/**
 * Detects poison requests, which crash the targets that run them. A request that was running during
 * two crashes without an answer in between is held back. A crash counts once for each request that
 * was running; an answer clears the count, so that a harmless request is not held.
 */
import type { Clock, Counters } from '@cactusrun/core';
import { LRUCache } from 'lru-cache';

/** Crashes after which a request is held back. */
export const CRASHES_TO_HOLD = 2;
/** How long a request is held back. */
export const HOLD_MILLISECONDS = 600_000;
/** Broken connections to one target within this time count as one crash. */
const SAME_CRASH_WINDOW_MILLISECONDS = 1_000;
const MAXIMUM_TRACKED_REQUESTS = 10_000;

interface CrashRecord {
  readonly crashes: number;
  readonly lastTarget: string;
  readonly lastAt: number;
  readonly heldUntil: number;
}

const NO_CRASHES: CrashRecord = { crashes: 0, lastTarget: '', lastAt: 0, heldUntil: 0 };

export default class CrashTracker {
  private readonly records = new LRUCache<string, CrashRecord>({ max: MAXIMUM_TRACKED_REQUESTS });

  constructor(
    private readonly clock: Clock,
    private readonly counters: Counters,
    private readonly onCrash: (fingerprint: string, crashes: number) => void,
  ) {}

  public isHeld(fingerprint: string): boolean {
    return (this.records.get(fingerprint)?.heldUntil ?? 0) > this.clock.now();
  }

  /** Whether the request may have crashed a target and must not share one with another suspect. */
  public isSuspect(fingerprint: string): boolean {
    return (this.records.get(fingerprint)?.crashes ?? 0) > 0;
  }

  /** Records that the target crashed while it ran the request. */
  public recordCrash(fingerprint: string, target: string): void {
    const before = this.records.get(fingerprint) ?? NO_CRASHES;
    const now = this.clock.now();
    const isSameCrash =
      before.lastTarget === target && now - before.lastAt < SAME_CRASH_WINDOW_MILLISECONDS;
    if (isSameCrash) return;
    const crashes = before.crashes + 1;
    this.counters.add('crashes', crashes >= CRASHES_TO_HOLD ? 'held-back' : 'suspected');
    this.set(fingerprint, crashes, target);
    this.onCrash(fingerprint, crashes);
  }

  /** Applies the number of crashes that a peer reported for the request. */
  public applyReport(fingerprint: string, crashes: number): void {
    const before = this.records.get(fingerprint) ?? NO_CRASHES;
    if (crashes > before.crashes) this.set(fingerprint, crashes, before.lastTarget);
  }

  /** Clears a request that a target answered. */
  public recordAnswer(fingerprint: string): void {
    if (this.records.has(fingerprint)) this.records.delete(fingerprint);
  }

  /** Removes a hold that an operator lifted. */
  public lift(fingerprint: string): void {
    this.records.delete(fingerprint);
  }

  private set(fingerprint: string, crashes: number, target: string): void {
    const now = this.clock.now();
    const heldUntil = crashes >= CRASHES_TO_HOLD ? now + HOLD_MILLISECONDS : 0;
    this.records.set(fingerprint, { crashes, lastTarget: target, lastAt: now, heldUntil });
  }
}
