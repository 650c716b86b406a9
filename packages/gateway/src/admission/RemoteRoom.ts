/**
 * Free slots at targets of other regions, whose requests this region's daemons do not know. The loads
 * that a few of them reported lately stand for all; without any, one request at a time goes there to
 * learn.
 */
import type OutstandingRequests from '../placement/OutstandingRequests.js';
import type { KnownTarget } from '../state/TargetTable.js';

/** A report older than this says nothing of the load. */
const REPORT_MILLISECONDS = 3_000;
/** Interval of the requests that learn the load. */
const TRIAL_INTERVAL_MILLISECONDS = 500;

type Loads = Pick<OutstandingRequests, 'ownAt' | 'reportedCountAt'>;

export default class RemoteRoom {
  private readonly triedAt = new Map<string, number>();

  constructor(private readonly outstanding: Loads) {}

  /**
   * @param targets - the sound targets of the service in other regions
   * @param tellsLoad - whether targets of the service report their load at all
   */
  public freeSlots(
    service: string,
    targets: readonly KnownTarget[],
    tellsLoad: boolean,
    now: number,
  ): number {
    const reports = targets.map(({ entry }) =>
      this.outstanding.reportedCountAt(entry.id, now - REPORT_MILLISECONDS),
    );
    const reported = targets.filter((_target, index) => reports[index] !== undefined);
    if (reported.length === 0) {
      return tellsLoad ? this.trialSlots(service, now) : this.unusedSlots(targets);
    }
    const slots = reported.reduce((sum, { entry }) => sum + entry.slots, 0);
    const level = reports.reduce<number>((sum, count) => sum + (count ?? 0), 0) / slots;
    return targets.reduce((sum, { entry: { id, slots: there } }, index) => {
      const presumed = Math.max(this.outstanding.ownAt(id), level * there);
      return sum + Math.max(0, Math.floor(there - (reports[index] ?? presumed)));
    }, 0);
  }

  /** Slots that this daemon does not use itself. */
  private unusedSlots(targets: readonly KnownTarget[]): number {
    return targets.reduce(
      (sum, { entry: { id, slots } }) => sum + Math.max(0, slots - this.outstanding.ownAt(id)),
      0,
    );
  }

  /** A slot for one trial an interval; it counts as tried once it is told. */
  private trialSlots(service: string, now: number): number {
    const triedAt = this.triedAt.get(service) ?? Number.NEGATIVE_INFINITY;
    if (now - triedAt < TRIAL_INTERVAL_MILLISECONDS) return 0;
    this.triedAt.set(service, now);
    return 1;
  }
}
