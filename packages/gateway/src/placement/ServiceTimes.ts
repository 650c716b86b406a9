/** Mean service time of each service, and how much slower each target is than its peers. */

/** Service time assumed before the first answer. */
const INITIAL_MEAN_MILLISECONDS = 300;
/** Weight of one answer in the mean of a service after many answers, and in a target's slowdown. */
const MEAN_WEIGHT = 0.02;
const SLOWDOWN_WEIGHT = 0.2;
/** Bounds of the slowdown of a target relative to its peers. */
const MINIMUM_SLOWDOWN = 0.5;
const MAXIMUM_SLOWDOWN = 10;

export default class ServiceTimes {
  private readonly means = new Map<string, number>();

  private readonly answerCounts = new Map<string, number>();

  private readonly slowdowns = new Map<string, number>();

  /**
   * Records the time of one good answer.
   *
   * @param queueRounds - number of requests that the target served one after another in that time
   */
  public record(service: string, target: string, milliseconds: number, queueRounds: number): void {
    const serviceMilliseconds = milliseconds / Math.max(1, queueRounds);
    const mean = this.meanOf(service);
    const ratio = Math.min(
      MAXIMUM_SLOWDOWN,
      Math.max(MINIMUM_SLOWDOWN, serviceMilliseconds / mean),
    );
    const before = this.slowdownOf(target);
    this.slowdowns.set(target, before + (ratio - before) * SLOWDOWN_WEIGHT);
    const count = (this.answerCounts.get(service) ?? 0) + 1;
    this.answerCounts.set(service, count);
    this.means.set(
      service,
      mean + (serviceMilliseconds - mean) * Math.max(MEAN_WEIGHT, 1 / (count + 1)),
    );
  }

  /** Mean service time without queueing, in milliseconds. */
  public meanOf(service: string): number {
    return this.means.get(service) ?? INITIAL_MEAN_MILLISECONDS;
  }

  /** Factor by which the target is slower than its peers. */
  public slowdownOf(target: string): number {
    return this.slowdowns.get(target) ?? 1;
  }

  public forget(target: string): void {
    this.slowdowns.delete(target);
  }
}
