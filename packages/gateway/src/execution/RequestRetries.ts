/** Counts the attempts of one request and withdraws its retries from the budget of its service. */
import type { Counters, Logger } from '@cactusrun/core';
import type { ExecutionPlan } from './ExecutionPlan.js';
import type RetryBudgetShares from './RetryBudgetShares.js';

export interface RequestRetriesParts {
  readonly retryBudgetShares: RetryBudgetShares;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class RequestRetries {
  /** Attempts that failed or were refused by the target; failed connections are counted apart. */
  private failures: number;

  private inProgress = 0;

  constructor(
    private readonly parts: RequestRetriesParts,
    private readonly plan: ExecutionPlan,
  ) {
    this.failures = plan.exchange.relayed?.attemptsMade ?? 0;
  }

  /** Failed attempts, with those of the daemon that relays the request. */
  public get failedAttempts(): number {
    return this.failures;
  }

  /** Whether the next attempt is a retry or a hedge. */
  public get isRetry(): boolean {
    return this.attempts > 0;
  }

  public recordStart(): void {
    this.inProgress += 1;
  }

  public recordEnd(): void {
    this.inProgress -= 1;
  }

  public recordFailure(): void {
    this.failures += 1;
  }

  /** Withdraws one retry; returns whether it is granted. */
  public withdraw(): boolean {
    const { counters, logger, retryBudgetShares } = this.parts;
    const { exchange, route, service } = this.plan;
    const { attempts } = this;
    const isWithinLimit = attempts < route.maximumAttempts;
    const isGranted = isWithinLimit && retryBudgetShares.shareOf(service).withdraw();
    const denial = isWithinLimit ? 'budget-spent' : 'attempts-used';
    const outcome = isGranted ? 'sent-again' : denial;
    counters.add('retries', outcome);
    logger.info('request-retry', { request: exchange.id, service, attempts, outcome });
    return isGranted;
  }

  private get attempts(): number {
    return this.failures + this.inProgress;
  }
}
