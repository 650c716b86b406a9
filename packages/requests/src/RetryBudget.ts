/** A share of the fresh requests that may be sent once more, as a bucket of tokens. */

/** Tokens that a service with few requests starts from and may gather. */
const MAXIMUM_TOKENS = 10;
const PERCENT = 100;

export default class RetryBudget {
  private tokens = MAXIMUM_TOKENS / 2;

  /** @param percent - retries allowed for each 100 fresh requests */
  constructor(private percent: number) {}

  public setPercent(percent: number): void {
    this.percent = percent;
  }

  /** Counts a fresh request. */
  public deposit(): void {
    this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + this.percent / PERCENT);
  }

  /** Takes a token for one retry or hedge, if there is one. */
  public withdraw(): boolean {
    if (this.tokens < 1 || this.percent === 0) return false;
    this.tokens -= 1;
    return true;
  }
}
