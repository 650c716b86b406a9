/** This daemon's retry budget share of each service. */
import type { Clock } from '@cactusrun/core';
import type { RetryBudgetTerms } from './RetryAllowance.js';
import RetryAllowance from './RetryAllowance.js';

export default class RetryAllowances {
  private readonly shares = new Map<string, RetryAllowance>();

  constructor(
    private readonly limits: RetryBudgetTerms,
    private readonly countMembers: () => number,
    private readonly clock: Clock,
  ) {}

  public of(service: string): RetryAllowance {
    const share =
      this.shares.get(service) ?? new RetryAllowance(this.limits, this.countMembers, this.clock);
    this.shares.set(service, share);
    return share;
  }
}
