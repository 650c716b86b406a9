/**
 * Requests that break the targets which run them. A request that broke two targets, without an
 * answer in between, is held back. One crash that several requests shared counts once for each;
 * an answer clears a request, so that an innocent one goes on.
 */
import type { Clock, Counters } from '@cactusrun/core';
import { LRUCache } from 'lru-cache';

/** Crashes after which a request is held back. */
export const CRASHES_TO_HOLD = 2;
/** How long a request is held back. */
export const HOLD_MILLISECONDS = 600_000;
/** Breaks of one target within this time are one crash. */
const SAME_CRASH_MILLISECONDS = 1_000;
const REMEMBERED_REQUESTS = 10_000;

interface Suspicion {
  readonly crashes: number;
  readonly lastTarget: string;
  readonly lastAt: number;
  readonly heldUntil: number;
}

const NO_SUSPICION: Suspicion = { crashes: 0, lastTarget: '', lastAt: 0, heldUntil: 0 };

export default class CrashWatch {
  private readonly suspicions = new LRUCache<string, Suspicion>({ max: REMEMBERED_REQUESTS });

  constructor(
    private readonly clock: Clock,
    private readonly counters: Counters,
    private readonly onCrash: (fingerprint: string, crashes: number) => void,
  ) {}

  public isHeld(fingerprint: string): boolean {
    return (this.suspicions.get(fingerprint)?.heldUntil ?? 0) > this.clock.now();
  }

  /** Whether the request broke a target once and must not meet another suspect. */
  public isSuspect(fingerprint: string): boolean {
    return (this.suspicions.get(fingerprint)?.crashes ?? 0) > 0;
  }

  /** The request was running when the target broke. */
  public noteCrash(fingerprint: string, target: string): void {
    const before = this.suspicions.get(fingerprint) ?? NO_SUSPICION;
    const now = this.clock.now();
    const isSame = before.lastTarget === target && now - before.lastAt < SAME_CRASH_MILLISECONDS;
    if (isSame) return;
    const crashes = before.crashes + 1;
    this.counters.add('crashes', crashes >= CRASHES_TO_HOLD ? 'held-back' : 'suspected');
    this.set(fingerprint, crashes, target);
    this.onCrash(fingerprint, crashes);
  }

  /** A peer saw the request break this many targets. */
  public learn(fingerprint: string, crashes: number): void {
    const before = this.suspicions.get(fingerprint) ?? NO_SUSPICION;
    if (crashes > before.crashes) this.set(fingerprint, crashes, before.lastTarget);
  }

  /** A target answered the request: it is innocent. */
  public noteAnswer(fingerprint: string): void {
    if (this.suspicions.has(fingerprint)) this.suspicions.delete(fingerprint);
  }

  /** An operator lifted the hold. */
  public lift(fingerprint: string): void {
    this.suspicions.delete(fingerprint);
  }

  private set(fingerprint: string, crashes: number, target: string): void {
    const now = this.clock.now();
    const heldUntil = crashes >= CRASHES_TO_HOLD ? now + HOLD_MILLISECONDS : 0;
    this.suspicions.set(fingerprint, { crashes, lastTarget: target, lastAt: now, heldUntil });
  }
}
