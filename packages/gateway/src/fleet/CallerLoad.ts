/**
 * Measures how much of a host's capacity the requests of callers take, in the unit in which hosts
 * state their capacity: 1 is the load that a host of capacity 1 can serve.
 */
import type { Clock } from '@cactusrun/core';

/** What a host of capacity 1 serves: requests, and bytes of bodies and answers together. */
const REQUESTS_PER_SECOND = 200;
const BYTES_PER_SECOND = 6_250_000;
/** Time constant of the moving average. */
const AVERAGE_MILLISECONDS = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;

interface Averages {
  readonly requests: number;
  readonly bytes: number;
  readonly at: number;
}

export default class CallerLoad {
  /** Sums in which each event decays by the time constant. */
  private sums: Averages = { requests: 0, bytes: 0, at: 0 };

  constructor(private readonly clock: Clock) {}

  /** Records a request that was received. */
  public recordRequest(bodyBytes: number): void {
    this.add(1, bodyBytes);
  }

  /** Records the answer to a request. */
  public recordAnswer(bodyBytes: number): void {
    this.add(0, bodyBytes);
  }

  /** The current load; 1 is what a host of capacity 1 can serve. */
  public current(): number {
    const { requests, bytes } = this.decayed();
    const seconds = AVERAGE_MILLISECONDS / MILLISECONDS_PER_SECOND;
    return Math.max(requests / seconds / REQUESTS_PER_SECOND, bytes / seconds / BYTES_PER_SECOND);
  }

  private add(requests: number, bytes: number): void {
    const sums = this.decayed();
    this.sums = { ...sums, requests: sums.requests + requests, bytes: sums.bytes + bytes };
  }

  private decayed(): Averages {
    const now = this.clock.now();
    const { requests, bytes, at } = this.sums;
    const factor = Math.exp((at - now) / AVERAGE_MILLISECONDS);
    return { requests: requests * factor, bytes: bytes * factor, at: now };
  }
}
