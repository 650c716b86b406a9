/** This daemon's retry budget share of each service. */
import type { Clock } from '@cactusrun/core';
import type { RetryBudgetLimits } from './RetryBudgetShare.js';
import RetryBudgetShare from './RetryBudgetShare.js';

export default class RetryBudgetShares {
  private readonly shares = new Map<string, RetryBudgetShare>();

  constructor(
    private readonly limits: RetryBudgetLimits,
    private readonly countMembers: () => number,
    private readonly clock: Clock,
  ) {}

  public shareOf(service: string): RetryBudgetShare {
    const share =
      this.shares.get(service) ?? new RetryBudgetShare(this.limits, this.countMembers, this.clock);
    this.shares.set(service, share);
    return share;
  }
}
