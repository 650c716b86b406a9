/**
 * How long targets stay sick, learned from the fleet's own traffic: failures late in an episode make
 * the estimate longer, recoveries seen early make it shorter.
 */

/** Estimate before anything was seen, in milliseconds. */
const FIRST_MILLISECONDS = 9_000;
const SHORTEST_MILLISECONDS = 1_000;
const LONGEST_MILLISECONDS = 30_000;
/** Weight of one late failure, and of one early recovery. */
const LONGER_WEIGHT = 0.2;
const SHORTER_WEIGHT = 0.1;

export default class EpisodeLength {
  private estimate = FIRST_MILLISECONDS;

  public get milliseconds(): number {
    return this.estimate;
  }

  /** A target failed a request this long after it fell sick. */
  public noteFailure(age: number): void {
    if (age > this.estimate) this.move(age, LONGER_WEIGHT);
  }

  /** A target that fell sick this long ago is well again. */
  public noteRecovery(age: number): void {
    if (age < this.estimate) this.move(age, SHORTER_WEIGHT);
  }

  private move(towards: number, weight: number): void {
    const moved = this.estimate + (towards - this.estimate) * weight;
    this.estimate = Math.min(LONGEST_MILLISECONDS, Math.max(SHORTEST_MILLISECONDS, moved));
  }
}
