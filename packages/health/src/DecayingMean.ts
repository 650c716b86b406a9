/** An exponentially weighted mean; the first values are averaged with equal weights. */
export default class DecayingMean {
  private count = 0;

  private mean = 0;

  constructor(private readonly weight: number) {}

  public get value(): number {
    return this.mean;
  }

  public get samples(): number {
    return this.count;
  }

  public add(value: number): void {
    this.count += 1;
    this.mean += Math.max(this.weight, 1 / this.count) * (value - this.mean);
  }
}
