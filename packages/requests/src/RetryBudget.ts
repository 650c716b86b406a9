/** Limits retries to a percentage of the new requests, as a token bucket. */

/** Capacity of the bucket; it starts half full, so that a service with few requests can retry. */
const MAXIMUM_TOKENS = 10;
const PERCENT = 100;

export default class RetryBudget {
  private tokens = MAXIMUM_TOKENS / 2;

  /** @param percent - retries allowed for each 100 new requests */
  constructor(private percent: number) {}

  public setPercent(percent: number): void {
    this.percent = percent;
  }

  /** Adds the tokens for one new request. */
  public recordRequest(): void {
    this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + this.percent / PERCENT);
  }

  /** Takes a token for one retry or hedge, if one is available. */
  public withdraw(): boolean {
    if (this.tokens < 1 || this.percent === 0) return false;
    this.tokens -= 1;
    return true;
  }
}
