/** When the store last answered the fleet, and when it was available again after an outage. */
import type { Clock } from '@cactusrun/core';

/** After so long without an answer the store was unavailable, and entries of targets may have expired. */
const OUTAGE_AGE_MILLISECONDS = 3_500;
/** Time in which targets write entries again that expired or were lost in the store. */
export const REREGISTRATION_MILLISECONDS = 2_000;

export default class StoreContact {
  private answeredAt = Number.NEGATIVE_INFINITY;

  private regainedAt = Number.NEGATIVE_INFINITY;

  private readonly listeners = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /** Milliseconds since the store answered this daemon or a peer. */
  public get ageMilliseconds(): number {
    return this.clock.now() - this.answeredAt;
  }

  /** Monotonic time until which an entry that the store lacks after an outage may be written again. */
  public get awaitsEntriesUntil(): number {
    return this.regainedAt + REREGISTRATION_MILLISECONDS;
  }

  /** Records that the store answered this daemon or a peer so long ago. */
  public record(ageMilliseconds: number): void {
    const answeredAt = this.clock.now() - ageMilliseconds;
    const isAfterOutage = answeredAt - this.answeredAt > OUTAGE_AGE_MILLISECONDS;
    this.answeredAt = Math.max(this.answeredAt, answeredAt);
    if (!isAfterOutage) return;
    this.regainedAt = answeredAt;
    this.listeners.forEach((listener) => listener());
  }

  /**
   * Calls the listener when the store answers this daemon or a peer again after an outage.
   *
   * @returns undoes the subscription
   */
  public subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }
}
