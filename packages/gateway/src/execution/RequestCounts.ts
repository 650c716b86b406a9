/**
 * Counts one request, each time once: against the quota of its workspace, and for the retry budget of
 * its service. A request that a peer relays may be counted by that peer already.
 */
import type AttemptTracker from '../health/AttemptTracker.js';
import type WorkspaceQuotas from '../limits/WorkspaceQuotas.js';
import type { QuotaVerdict } from '../limits/WorkspaceQuotas.js';
import type { RelayStatement } from '../relay/RelayStatement.js';
import type { Workspace } from '../workspaces/Workspace.js';
import type RetryBudgetShares from './RetryBudgetShares.js';

export interface RequestCountsParts {
  readonly attemptTracker: Pick<AttemptTracker, 'recordRequest'>;
  readonly quotas: Pick<WorkspaceQuotas, 'check'>;
  readonly retryBudgetShares: Pick<RetryBudgetShares, 'shareOf'>;
}

export default class RequestCounts {
  private isQuotaCounted: boolean;

  private isBudgetCounted: boolean;

  /** @param relayed - what a peer that relays the request states of it */
  constructor(
    private readonly parts: RequestCountsParts,
    private readonly service: string,
    private readonly workspace: Workspace | undefined,
    relayed: RelayStatement | undefined,
  ) {
    this.isQuotaCounted = relayed?.isQuotaCounted === true;
    this.isBudgetCounted = relayed?.isBudgetCounted === true || (relayed?.attemptsMade ?? 0) > 0;
  }

  /** What a peer that executes the request needs to know. */
  public get statement(): Required<Pick<RelayStatement, 'isQuotaCounted' | 'isBudgetCounted'>> {
    const { isQuotaCounted, isBudgetCounted } = this;
    return { isQuotaCounted, isBudgetCounted };
  }

  /**
   * Counts the request against the quota of its workspace if there is room, in one step: others may
   * have used the quota up while the request waited.
   */
  public claimQuota(): QuotaVerdict {
    if (this.workspace === undefined || this.isQuotaCounted) return { kind: 'free' };
    const verdict = this.parts.quotas.check(this.workspace);
    if (verdict.kind === 'free') this.countQuota();
    return verdict;
  }

  /** Counts the request against the quota of its workspace. */
  public countQuota(): void {
    if (this.workspace === undefined || this.isQuotaCounted) return;
    this.isQuotaCounted = true;
    this.parts.attemptTracker.recordRequest(this.workspace);
  }

  /** Counts the first attempt at a target: it raises the retry budget, and uses the quota. */
  public countFirstAttempt(): void {
    this.countQuota();
    if (this.isBudgetCounted) return;
    this.isBudgetCounted = true;
    this.parts.retryBudgetShares.shareOf(this.service).deposit();
  }
}
