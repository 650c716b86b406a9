/** Estimates a quantile by stochastic approximation, in steps proportional to the estimate. */
export default class DecayingQuantile {
  constructor(
    private readonly quantile: number,
    private estimate: number,
    private readonly step: number,
  ) {}

  public get value(): number {
    return this.estimate;
  }

  public add(value: number): void {
    const direction = value > this.estimate ? this.quantile : this.quantile - 1;
    this.estimate *= 1 + this.step * direction;
  }
}
