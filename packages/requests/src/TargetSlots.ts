/** The slots of one target: how many requests it runs now, out of how many. */
import type { Target } from '@cactusrun/core';
import { invariant } from '@cactusrun/core';

export default class TargetSlots {
  private inUse = 0;

  /** Requests of suspects for crashes that run here now. */
  private crashSuspects = 0;

  /** Slots that a former keeper still used when it handed the target over. */
  private handedOver = 0;

  /** No new work: the target is drained, leaving or gone from the contract. */
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

  /** Takes a slot; the returned function gives it back, once. */
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
