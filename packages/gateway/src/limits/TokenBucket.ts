/** A number of tokens, each of which allows one attempt. */
export default class TokenBucket {
  /** @param tokens - number of tokens at the start */
  constructor(private tokens: number) {}

  /** Adds tokens, up to a capacity that may change between calls. */
  public add(amount: number, capacity: number): void {
    this.tokens = Math.min(capacity, this.tokens + amount);
  }

  /** Tokens there are; negative in debt. */
  public get available(): number {
    return this.tokens;
  }

  /**
   * Takes a token, also when there is none: others may have taken it at the same time.
   *
   * @param maximumDebt - tokens that may be missing at most
   */
  public take(maximumDebt = 0): void {
    this.tokens = Math.max(-maximumDebt, this.tokens - 1);
  }
}
