/**
 * Estimates how long targets stay unhealthy from the outcomes of requests: failures later than the
 * estimate raise it, earlier recoveries lower it.
 */

/** Estimate before the first observation. */
const INITIAL_MILLISECONDS = 9_000;
const MINIMUM_MILLISECONDS = 1_000;
const MAXIMUM_MILLISECONDS = 30_000;
/** Weight of one late failure, and of one early recovery, in the moving average. */
const LATE_FAILURE_WEIGHT = 0.2;
const EARLY_RECOVERY_WEIGHT = 0.1;

export default class EpisodeLength {
  private estimate = INITIAL_MILLISECONDS;

  public get milliseconds(): number {
    return this.estimate;
  }

  /** Records a failure this many milliseconds after the start of the episode. */
  public recordFailure(ageMilliseconds: number): void {
    if (ageMilliseconds > this.estimate) this.moveTowards(ageMilliseconds, LATE_FAILURE_WEIGHT);
  }

  /** Records a recovery this many milliseconds after the start of the episode. */
  public recordRecovery(ageMilliseconds: number): void {
    if (ageMilliseconds < this.estimate) this.moveTowards(ageMilliseconds, EARLY_RECOVERY_WEIGHT);
  }

  private moveTowards(value: number, weight: number): void {
    const updated = this.estimate + (value - this.estimate) * weight;
    this.estimate = Math.min(MAXIMUM_MILLISECONDS, Math.max(MINIMUM_MILLISECONDS, updated));
  }
}
