/** Mean length of the answers of each route, by which the choice of a target weighs its distance. */

/** Weight of one answer in the mean after many answers. */
const MEAN_WEIGHT = 0.05;

interface AnswerSize {
  readonly mean: number;
  readonly answers: number;
}

const NO_ANSWER: AnswerSize = { mean: 0, answers: 0 };

export default class AnswerSizes {
  private readonly sizes = new Map<string, AnswerSize>();

  /** Records the length of the body of one answer. */
  public record(route: string, bytes: number): void {
    const { mean, answers } = this.sizes.get(route) ?? NO_ANSWER;
    const weight = Math.max(MEAN_WEIGHT, 1 / (answers + 1));
    this.sizes.set(route, { mean: mean + (bytes - mean) * weight, answers: answers + 1 });
  }

  /** Mean length in bytes; 0 before the first answer. */
  public meanOf(route: string): number {
    return this.sizes.get(route)?.mean ?? 0;
  }
}
