/** A cumulative sum that never falls below zero: the sequential test for a change to the worse. */
export default class Cusum {
  private sum = 0;

  constructor(private cap: number) {}

  public get score(): number {
    return this.sum;
  }

  public setCap(cap: number): void {
    this.cap = cap;
  }

  /** Adds the log-likelihood ratio of one piece of evidence. */
  public add(ratio: number): void {
    this.sum = Math.min(this.cap, Math.max(0, this.sum + ratio));
  }

  public reset(): void {
    this.sum = 0;
  }
}
