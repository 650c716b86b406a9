/** Counts the slots of one target that are in use, up to its limit of concurrent requests. */
import type { Target } from '@cactusrun/core';
import { invariant } from '@cactusrun/core';

export default class TargetSlots {
  private inUse = 0;

  /** Running requests that may have crashed another target. */
  private crashSuspects = 0;

  /** Slots in use at handover by the former keeper, the daemon that dispatched requests before. */
  private handedOver = 0;

  /** Accepts no new requests: the target is drained, leaving or removed from the contract. */
  public isClosed = false;

  constructor(
    public readonly target: Target,
    private limit: number,
  ) {}

  public get used(): number {
    return this.inUse + this.handedOver;
  }

  public get free(): number {
    return this.isClosed ? 0 : Math.max(0, this.limit - this.used);
  }

  public get size(): number {
    return this.isClosed ? 0 : this.limit;
  }

  public get hasCrashSuspect(): boolean {
    return this.crashSuspects > 0;
  }

  public setLimit(limit: number): void {
    this.limit = limit;
  }

  public setHandedOver(count: number): void {
    this.handedOver = count;
  }

  /** Takes a slot; the returned function releases it and is idempotent. */
  public take(isCrashSuspect: boolean): () => void {
    invariant(this.free > 0, `no free slot at ${this.target.name}: ${this.used} of ${this.limit}`);
    this.inUse += 1;
    if (isCrashSuspect) this.crashSuspects += 1;
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      this.inUse -= 1;
      if (isCrashSuspect) this.crashSuspects -= 1;
    };
  }
}
