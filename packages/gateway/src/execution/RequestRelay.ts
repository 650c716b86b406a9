/** Has a peer execute a request whose targets this daemon does not reach. */
import type LostTargets from '../reachability/LostTargets.js';
import type TargetReachability from '../reachability/TargetReachability.js';
import type PeerRelay from '../relay/PeerRelay.js';
import type { RelayResult } from '../relay/PeerRelay.js';
import type AttemptStarter from './AttemptStarter.js';
import type ConnectionFailures from './ConnectionFailures.js';
import type { ExecutionPlan } from './ExecutionPlan.js';
import { isIdempotent, sendKindOf } from './ExecutionPlan.js';
import type { ExecutionStep } from './ExecutionStep.js';
import { CANCELLED, RETRY } from './ExecutionStep.js';
import type RequestCounts from './RequestCounts.js';
import type RequestEnding from './RequestEnding.js';
import type RequestRetries from './RequestRetries.js';

export interface RequestRelayParts {
  readonly relay: PeerRelay;
  readonly reachability: TargetReachability;
  readonly lostTargets: LostTargets;
}

/** What the relay knows of the request's attempts, and changes. */
export interface RelayContext {
  readonly retries: Pick<RequestRetries, 'failedAttempts'>;
  readonly starter: Pick<AttemptStarter, 'targetsTried'>;
  readonly counts: RequestCounts;
  readonly ending: RequestEnding;
  readonly connectionFailures: ConnectionFailures;
}

type RelayHandlers = {
  [Kind in RelayResult['kind']]: (result: Extract<RelayResult, { kind: Kind }>) => ExecutionStep;
};

export default class RequestRelay {
  /** Whether peers were asked to send the request though this daemon reaches some targets. */
  private hasAskedPeers = false;

  private readonly handlers: RelayHandlers = {
    answered: ({ answer }) => ({ kind: 'done', outcome: { kind: 'answered', answer } }),
    refused: ({ reason, freeInMilliseconds }) =>
      this.context.ending.conclude(reason, freeInMilliseconds),
    'no-peer': () => {
      const hasOwnTargets = this.hasAskedPeers && !this.parts.reachability.isCutOff;
      return hasOwnTargets ? RETRY : this.context.ending.conclude('unreachable');
    },
    broken: () => this.context.ending.handleFailure('connection-broke'),
    timeout: () => this.context.ending.handleFailure('timeout'),
    cancelled: () => CANCELLED,
  };

  constructor(
    private readonly parts: RequestRelayParts,
    private readonly plan: ExecutionPlan,
    private readonly context: RelayContext,
  ) {}

  /** Whether this daemon, rather than some targets, is the one that cannot be reached. */
  public get lacksTargets(): boolean {
    if (this.parts.reachability.isCutOff) return true;
    return this.context.connectionFailures.suggestCutOff && (this.isRelayed || this.canRelay);
  }

  /**
   * Whether a peer should send the request, since this daemon lost most targets of the service. A
   * peer that lost them too refuses a relayed request, so that another one is asked; a daemon that
   * finds no peer uses the targets that are left.
   */
  public get prefersPeer(): boolean {
    const mayAsk = this.isRelayed ? this.context.starter.targetsTried === 0 : this.canRelay;
    return mayAsk && !this.hasAskedPeers && this.parts.lostTargets.hasLostMost(this.plan.service);
  }

  /** A relayed request is not relayed again, and one that may have run only if it is idempotent. */
  public get canRelay(): boolean {
    const { route, needsAuthorization } = this.plan;
    const { failedAttempts } = this.context.retries;
    const isAvailable = this.parts.relay.isAvailable(needsAuthorization);
    if (this.isRelayed || !isAvailable) return false;
    if (failedAttempts === 0) return true;
    return isIdempotent(this.plan) && failedAttempts < route.maximumAttempts;
  }

  /** Has a peer execute the request if that is possible; this daemon cannot. */
  public async sendOrRefuse(): Promise<ExecutionStep> {
    return this.canRelay ? this.send() : this.context.ending.conclude('unreachable');
  }

  /** Has a peer execute the request that this daemon may execute itself if there is no peer. */
  public async sendPreferred(): Promise<ExecutionStep> {
    if (this.isRelayed) return this.context.ending.conclude('unreachable');
    this.hasAskedPeers = true;
    return this.send();
  }

  private get isRelayed(): boolean {
    return this.plan.exchange.relayed !== undefined;
  }

  /** Has a peer execute the request, which counts its retries there. */
  private async send(): Promise<ExecutionStep> {
    const { exchange, deadline, version, needsAuthorization } = this.plan;
    const { counts, retries, ending } = this.context;
    if (!exchange.passOn()) return ending.conclude('stopping');
    counts.countQuota();
    const result = await this.parts.relay.send({
      exchange,
      kind: sendKindOf(this.plan),
      deadline,
      statement: {
        attemptsMade: retries.failedAttempts,
        configurationVersion: version,
        ...counts.statement,
      },
      needsAuthorization,
    });
    const handle = this.handlers[result.kind] as (result: RelayResult) => ExecutionStep;
    return handle(result);
  }
}
