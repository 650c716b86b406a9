/** Has one request admitted under overload, and counts it against the quota of its workspace. */
import type { Clock } from '@cactusrun/core';
import type { AdmissionResult } from '../admission/AdmissionQuery.js';
import type RequestAdmission from '../admission/RequestAdmission.js';
import type { ExecutionPlan } from './ExecutionPlan.js';
import type { ExecutionStep } from './ExecutionStep.js';
import { RETRY } from './ExecutionStep.js';
import type RequestCounts from './RequestCounts.js';
import type RequestEnding from './RequestEnding.js';

export interface AdmissionClaimParts {
  /** Admits requests under overload; undefined where they queue at the targets only. */
  readonly requestAdmission: RequestAdmission | undefined;
  readonly clock: Clock;
}

type Admitted = Extract<AdmissionResult, { kind: 'admitted' }>;

const ADMITTED_AT_ONCE: AdmissionResult = { kind: 'admitted', needsFreeSlot: false };

export default class AdmissionClaim {
  /** Set once the request is admitted to the targets of its service. */
  private admitted: Admitted | undefined;

  constructor(
    private readonly parts: AdmissionClaimParts,
    private readonly plan: ExecutionPlan,
    private readonly counts: RequestCounts,
    private readonly ending: RequestEnding,
  ) {}

  public get isAdmitted(): boolean {
    return this.admitted !== undefined;
  }

  /** Whether a target without a queue is preferred. */
  public get needsFreeSlot(): boolean {
    return this.admitted?.needsFreeSlot ?? false;
  }

  /**
   * Seeks admission; the attempt starts anew afterwards. Requests without workspaces do not compete
   * here: they queue at the targets.
   */
  public async seek(): Promise<ExecutionStep> {
    const result = await this.admit();
    if (result.kind === 'refused') {
      return this.ending.conclude('overloaded', result.freeInMilliseconds);
    }
    if (result.kind !== 'admitted') return RETRY;
    this.admitted = result;
    const verdict = this.counts.claimQuota();
    if (verdict.kind === 'free') return RETRY;
    return this.ending.conclude(verdict.kind, verdict.freeInMilliseconds);
  }

  private async admit(): Promise<AdmissionResult> {
    const { requestAdmission, clock } = this.parts;
    const { exchange, route, service, priority, workspace, deadline } = this.plan;
    const isContested = this.plan.needsAuthorization;
    if (requestAdmission === undefined || !isContested) return ADMITTED_AT_ONCE;
    return requestAdmission.admit({
      id: exchange.id,
      service,
      priority,
      workspace: workspace?.name,
      objectiveMilliseconds: route.objectiveMilliseconds - (clock.now() - exchange.receivedAt),
      deadline,
      signal: exchange.signal,
    });
  }
}
