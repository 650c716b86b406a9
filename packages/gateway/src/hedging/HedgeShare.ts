/**
 * The hedged requests that one daemon may still send to a service: a share of the requests that it
 * sends itself. Where each daemon keeps to its share, the fleet does, without messages.
 */
import TokenBucket from '../limits/TokenBucket.js';

/** Hedged requests that a daemon may save up and send at once. */
const MAXIMUM_SAVED = 5;
/** The sum of many small shares may fall short of a whole token by so much. */
const ROUNDING = 1e-9;

export default class HedgeShare {
  /** Empty at the start: a restart grants nothing. */
  private readonly bucket = new TokenBucket(0);

  /** @param share - hedged requests per request, from 0 to 1 */
  constructor(private readonly share: number) {}

  /** Counts a request that is sent for the first time. */
  public deposit(): void {
    this.bucket.add(this.share, MAXIMUM_SAVED);
  }

  /** Whether a hedged request may be sent. */
  public get isAvailable(): boolean {
    return this.bucket.available >= 1 - ROUNDING;
  }

  /** Counts a hedged request. */
  public withdraw(): void {
    this.bucket.take();
  }
}
