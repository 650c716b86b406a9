/**
 * Executes one request on targets. It is retried on another target only if it certainly did not run
 * or is idempotent, within the attempt limit of its route and the retry budget of its service.
 */
import type { CallerOutcome } from '../callers/CallerExchange.js';
import type { RefusalReason } from '../callers/Refusal.js';
import type WorkspaceQuotas from '../limits/WorkspaceQuotas.js';
import type { PickResult } from '../placement/TargetPick.js';
import type { AdmissionClaimParts } from './AdmissionClaim.js';
import AdmissionClaim from './AdmissionClaim.js';
import type { AttemptLogParts } from './AttemptLog.js';
import AttemptLog from './AttemptLog.js';
import type { AttemptResultParts } from './AttemptResultHandler.js';
import AttemptResultHandler from './AttemptResultHandler.js';
import type { AttemptStarterParts } from './AttemptStarter.js';
import AttemptStarter from './AttemptStarter.js';
import ConnectionFailures from './ConnectionFailures.js';
import type { ExecutionPlan } from './ExecutionPlan.js';
import type { ExecutionStep } from './ExecutionStep.js';
import { CANCELLED } from './ExecutionStep.js';
import RequestCounts from './RequestCounts.js';
import type { RequestEndingParts } from './RequestEnding.js';
import RequestEnding from './RequestEnding.js';
import type { RequestRelayParts } from './RequestRelay.js';
import RequestRelay from './RequestRelay.js';
import type { RequestRetriesParts } from './RequestRetries.js';
import RequestRetries from './RequestRetries.js';
import type { RequestSenderParts } from './RequestSender.js';
import RequestSender from './RequestSender.js';

/** Remaining time below which no further attempt is made. */
const MINIMUM_REMAINING_MILLISECONDS = 30;

export interface RequestExecutionParts
  extends
    AdmissionClaimParts,
    AttemptLogParts,
    AttemptResultParts,
    AttemptStarterParts,
    RequestEndingParts,
    RequestRelayParts,
    RequestRetriesParts,
    RequestSenderParts {
  readonly quotas: { check: WorkspaceQuotas['check'] };
}

type Unplaced = Exclude<PickResult, { kind: 'picked' }>;

/** Why a request without a target is refused; if undefined, for the reason of its last attempt. */
const UNPLACED_REASONS: Readonly<Record<Unplaced['kind'], RefusalReason | undefined>> = {
  full: 'overloaded',
  'rate-limited': 'rate-limited',
  'backing-off': 'backing-off',
  'no-target': undefined,
};

export default class RequestExecution {
  private readonly log: AttemptLog;

  private readonly connectionFailures: ConnectionFailures;

  private readonly retries: RequestRetries;

  private readonly ending: RequestEnding;

  private readonly admission: AdmissionClaim;

  private readonly starter: AttemptStarter;

  private readonly relay: RequestRelay;

  private readonly sender: RequestSender;

  constructor(
    private readonly parts: RequestExecutionParts,
    private readonly plan: ExecutionPlan,
  ) {
    const { exchange, service, workspace } = plan;
    const counts = new RequestCounts(parts, service, workspace, exchange.relayed);
    this.log = new AttemptLog(parts, exchange.id, service);
    this.connectionFailures = new ConnectionFailures(parts.reachability, parts.clock);
    this.retries = new RequestRetries(parts, plan);
    this.ending = new RequestEnding(parts, plan, this.retries);
    this.admission = new AdmissionClaim(parts, plan, counts, this.ending);
    this.starter = new AttemptStarter(parts, plan, this.admission, counts, this.retries);
    const { log, connectionFailures, retries, ending, starter } = this;
    const context = { log, connectionFailures, retries, ending, starter, counts };
    const results = new AttemptResultHandler(parts, plan, context);
    this.relay = new RequestRelay(parts, plan, context);
    this.sender = new RequestSender(parts, plan, { ...context, results, relay: this.relay });
  }

  /** Attempts the request until there is an outcome for its caller. */
  public async execute(): Promise<CallerOutcome> {
    const step = await this.attempt();
    return step.kind === 'done' ? step.outcome : this.execute();
  }

  private async attempt(): Promise<ExecutionStep> {
    const { plan, retries, ending, relay } = this;
    if (plan.exchange.signal.aborted) return CANCELLED;
    const remaining = plan.deadline - this.parts.clock.now();
    if (remaining < MINIMUM_REMAINING_MILLISECONDS) return ending.conclude('too-late');
    if (relay.lacksTargets) return relay.sendOrRefuse();
    if (relay.prefersPeer) return relay.sendPreferred();
    if (this.connectionFailures.isExhausted) return ending.conclude('unreachable');
    if (!this.admission.isAdmitted && retries.failedAttempts === 0) return this.admission.seek();
    const picked = this.starter.pick();
    if (picked.kind !== 'picked') return this.concludeUnplaced(picked, remaining);
    if (retries.failedAttempts > 0 && !retries.withdraw()) return ending.conclude();
    return this.sender.send(picked.pick);
  }

  private concludeUnplaced(picked: Unplaced, remaining: number): ExecutionStep {
    this.log.recordUnplaced(picked, remaining, this.starter.targetsTried);
    return this.ending.conclude(UNPLACED_REASONS[picked.kind], this.returnTime(picked));
  }

  /** Time until the request can be taken, as far as it is known. */
  private returnTime(picked: Unplaced): number | undefined {
    const { service, deadline, needsAuthorization } = this.plan;
    if (picked.kind === 'full' && needsAuthorization) {
      return this.parts.requestAdmission?.promiseReturn(service, deadline);
    }
    return picked.kind === 'backing-off' ? picked.freeInMilliseconds : undefined;
  }
}
