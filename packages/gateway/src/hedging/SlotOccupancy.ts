/** The share of a service's slots that are taken, over the targets that look healthy. */
import type { Clock } from '@cactusrun/core';
import type OutstandingRequests from '../placement/OutstandingRequests.js';
import type TargetTable from '../state/TargetTable.js';

/** Probability of being unhealthy from which a target's slots do not count. */
const UNHEALTHY_PROBABILITY = 0.5;

export default class SlotOccupancy {
  constructor(
    private readonly targets: Pick<TargetTable, 'usable'>,
    private readonly outstanding: Pick<OutstandingRequests, 'countAt'>,
    private readonly clock: Clock,
  ) {}

  /** Share of the slots that are taken, from 0 to 1; 1 without a healthy target. */
  public of(service: string): number {
    const now = this.clock.now();
    const healthy = this.targets
      .usable(service)
      .filter((target) => target.healthEstimate.unhealthyProbabilityAt(now) < UNHEALTHY_PROBABILITY)
      .map(({ entry }) => entry);
    const slots = healthy.reduce((sum, entry) => sum + entry.slots, 0);
    const taken = healthy.reduce(
      (sum, { id, slots: own }) => sum + Math.min(own, this.outstanding.countAt(id, now)),
      0,
    );
    return slots === 0 ? 1 : taken / slots;
  }
}
