/** How long the targets of a service take to answer, and which of them are slower than the others. */

/** Answer time assumed of a service that has not answered yet. */
const FIRST_MEAN_MILLISECONDS = 300;
/** Weight of one answer in the mean of a service once many were seen, and in a target's slowness. */
const SERVICE_WEIGHT = 0.02;
const TARGET_WEIGHT = 0.2;
/** A target is never taken for faster than half, nor slower than ten times its peers. */
const SMALLEST_SLOWNESS = 0.5;
const LARGEST_SLOWNESS = 10;

export default class ServiceTimes {
  private readonly means = new Map<string, number>();

  private readonly answers = new Map<string, number>();

  private readonly slowness = new Map<string, number>();

  /**
   * Takes in the time of one good answer.
   *
   * @param queuedShare - the number of requests that the target served one after another in it
   */
  public note(service: string, target: string, milliseconds: number, queuedShare: number): void {
    const work = milliseconds / Math.max(1, queuedShare);
    const mean = this.meanOf(service);
    const ratio = Math.min(LARGEST_SLOWNESS, Math.max(SMALLEST_SLOWNESS, work / mean));
    const before = this.slownessOf(target);
    this.slowness.set(target, before + (ratio - before) * TARGET_WEIGHT);
    const answers = (this.answers.get(service) ?? 0) + 1;
    this.answers.set(service, answers);
    this.means.set(service, mean + (work - mean) * Math.max(SERVICE_WEIGHT, 1 / (answers + 1)));
  }

  /** Mean time of one request alone at a target of the service, in milliseconds. */
  public meanOf(service: string): number {
    return this.means.get(service) ?? FIRST_MEAN_MILLISECONDS;
  }

  /** How many times longer than its peers the target takes. */
  public slownessOf(target: string): number {
    return this.slowness.get(target) ?? 1;
  }

  public forget(target: string): void {
    this.slowness.delete(target);
  }
}
