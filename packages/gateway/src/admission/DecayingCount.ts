/** A number of events, of which old ones count less and less. */
export default class DecayingCount {
  private value = 0;

  private updatedAt = 0;

  /** @param decayMilliseconds - after this time an event has the weight 1/e */
  constructor(private readonly decayMilliseconds: number) {}

  public add(now: number, amount = 1): void {
    this.value = this.at(now) + amount;
    this.updatedAt = now;
  }

  /** The number at a monotonic time. */
  public at(now: number): number {
    return this.value * Math.exp((this.updatedAt - now) / this.decayMilliseconds);
  }
}
