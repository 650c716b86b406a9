/**
 * Distribution of the times from sending a request to its answer, in a histogram of logarithmic
 * buckets. Older times lose weight as newer ones arrive, so that quantiles follow the load.
 */

/** Width of a bucket relative to its lower bound, which bounds the relative error of a quantile. */
const BUCKET_GROWTH = 1.05;
const SMALLEST_MILLISECONDS = 1;
const BUCKETS = 256;

export default class AnswerTimes {
  private readonly weights = new Float64Array(BUCKETS);

  private total = 0;

  /** @param memory - number of times at which the weight of all is halved */
  constructor(private readonly memory: number) {}

  /** Sum of the weights of the recorded times: their number, but for those that have faded. */
  public get weight(): number {
    return this.total;
  }

  public record(milliseconds: number): void {
    const bucket = bucketOf(milliseconds);
    this.weights[bucket] = this.weights[bucket]! + 1;
    this.total += 1;
    if (this.total >= this.memory) this.fade();
  }

  /**
   * The time within which the share of the requests was answered; undefined without any times.
   *
   * @param share - from 0 to 1
   */
  public quantile(share: number): number | undefined {
    let remaining = share * this.total;
    const bucket = this.weights.findIndex((weight) => {
      remaining -= weight;
      return weight > 0 && remaining <= 0;
    });
    return bucket < 0 ? undefined : upperBoundOf(bucket);
  }

  private fade(): void {
    this.weights.forEach((weight, bucket) => {
      this.weights[bucket] = weight / 2;
    });
    this.total /= 2;
  }
}

function bucketOf(milliseconds: number): number {
  const growths = Math.log(Math.max(1, milliseconds / SMALLEST_MILLISECONDS));
  return Math.min(BUCKETS - 1, Math.floor(growths / Math.log(BUCKET_GROWTH)));
}

function upperBoundOf(bucket: number): number {
  return SMALLEST_MILLISECONDS * BUCKET_GROWTH ** (bucket + 1);
}
