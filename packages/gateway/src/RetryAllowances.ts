/** The retry allowance of each service. */
import type { Clock } from '@cactusrun/core';
import type { RetryBudgetTerms } from './RetryAllowance.js';
import RetryAllowance from './RetryAllowance.js';

export default class RetryAllowances {
  private readonly services = new Map<string, RetryAllowance>();

  constructor(
    private readonly terms: RetryBudgetTerms,
    private readonly countMembers: () => number,
    private readonly clock: Clock,
  ) {}

  public of(service: string): RetryAllowance {
    const known =
      this.services.get(service) ?? new RetryAllowance(this.terms, this.countMembers, this.clock);
    this.services.set(service, known);
    return known;
  }
}
