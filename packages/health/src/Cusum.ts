/** A one-sided CUSUM: a cumulative sum, kept between zero and a cap, that detects a degradation. */
export default class Cusum {
  private sum = 0;

  constructor(private cap: number) {}

  public get score(): number {
    return this.sum;
  }

  public setCap(cap: number): void {
    this.cap = cap;
  }

  /** Adds the log-likelihood ratio of one observation. */
  public add(logRatio: number): void {
    this.sum = Math.min(this.cap, Math.max(0, this.sum + logRatio));
  }

  public reset(): void {
    this.sum = 0;
  }
}
