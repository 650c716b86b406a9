/** The connections of one request that failed, and whether they speak against this daemon's own links. */
import type { Clock } from '@cactusrun/core';
import type TargetReachability from '../reachability/TargetReachability.js';

/** Failed connections after which a request is refused. */
const MAXIMUM_FAILED_CONNECTIONS = 8;
/**
 * So many failed connections with so much time between them raise the suspicion that this daemon's own
 * links have failed, unless one to another target succeeds meanwhile.
 */
const SUSPICION_CONNECTIONS = 2;
const SUSPICION_MILLISECONDS = 100;

export default class ConnectionFailures {
  private count = 0;

  /** Monotonic time of the first failure. */
  private firstAt: number | undefined;

  constructor(
    private readonly reachability: Pick<TargetReachability, 'hasConnectedSince'>,
    private readonly clock: Clock,
  ) {}

  public record(): void {
    this.count += 1;
    this.firstAt ??= this.clock.now();
  }

  /** Whether no further connection is to be tried. */
  public get isExhausted(): boolean {
    return this.count >= MAXIMUM_FAILED_CONNECTIONS;
  }

  /** Whether this daemon may be cut off from all targets, though it does not know it yet. */
  public get suggestCutOff(): boolean {
    if (this.firstAt === undefined) return false;
    if (this.reachability.hasConnectedSince(this.firstAt)) return false;
    const areApart = this.clock.now() - this.firstAt >= SUSPICION_MILLISECONDS;
    return this.isExhausted || (areApart && this.count >= SUSPICION_CONNECTIONS);
  }
}
