/** A quantile followed by small steps, relative to its size. */
export default class FadingQuantile {
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
