/**
 * Executes one request on targets. It is retried on another target only if it certainly did not run
 * or is idempotent, within the attempt limit of its route and the retry budget of its service.
 */
import type { Counters, Logger } from '@cactusrun/core';
import type { CrashTracker } from '@cactusrun/requests';
import type { AdmissionResult } from '../admission/AdmissionQuery.js';
import type RequestAdmission from '../admission/RequestAdmission.js';
import AttemptLog from './AttemptLog.js';
import RequestCounts from './RequestCounts.js';
import ConnectionFailures from './ConnectionFailures.js';
import type { AnswerVerdict } from './judgeAnswer.js';
import { judgeAnswer } from './judgeAnswer.js';
import type { CallerExchange, CallerOutcome } from '../callers/CallerExchange.js';
import { refuse } from '../callers/CallerExchange.js';
import type HedgePolicy from '../hedging/HedgePolicy.js';
import type { HedgedAttempt } from '../hedging/HedgePolicy.js';
import type { GatewayRoute } from '../state/GatewayConfiguration.js';
import { isRepeatable } from '../state/GatewayConfiguration.js';
import type { RefusalReason } from '../callers/Refusal.js';
import type LostTargets from '../reachability/LostTargets.js';
import type PeerRelay from '../relay/PeerRelay.js';
import type { RelayResult } from '../relay/PeerRelay.js';
import type RetryBudgetShares from './RetryBudgetShares.js';
import type { AttemptParts, RunningAttempt } from './RunningAttempt.js';
import { isSuccessful, startAttempt } from './RunningAttempt.js';
import { lengthOf } from '../connections/TargetAttempt.js';
import type {
  AttemptResult,
  HeaderFields,
  OutgoingRequest,
  TargetAnswer,
} from '../connections/TargetAttempt.js';
import type WorkspaceQuotas from '../limits/WorkspaceQuotas.js';
import type { Workspace } from '../workspaces/Workspace.js';
import type AnswerSizes from '../placement/AnswerSizes.js';
import type TargetPicker from '../placement/TargetPicker.js';
import type { Pick, PickResult } from '../placement/TargetPicker.js';

/** Remaining time below which no further attempt is made. */
const MINIMUM_REMAINING_MILLISECONDS = 30;

export interface RequestExecutionParts extends AttemptParts {
  readonly picker: TargetPicker;
  readonly hedging: HedgePolicy;
  readonly relay: PeerRelay;
  readonly lostTargets: LostTargets;
  /** Learns the lengths of answers; if absent, they do not count in the choice of targets. */
  readonly answerSizes?: AnswerSizes;
  /** Admits requests under overload; undefined where they queue at the targets only. */
  readonly requestAdmission: RequestAdmission | undefined;
  readonly quotas: { check: WorkspaceQuotas['check'] };
  readonly crashes: CrashTracker;
  readonly retryBudgetShares: RetryBudgetShares;
  readonly counters: Counters;
  readonly logger: Logger;
}

export interface ExecutionPlan {
  readonly exchange: CallerExchange;
  readonly route: GatewayRoute;
  readonly service: string;
  /** Fields of the request for targets. */
  readonly fields: HeaderFields;
  /** Urgency of the request; 0 is the most urgent. */
  readonly priority: number;
  /** Workspace of the caller, where callers have one. */
  readonly workspace: Workspace | undefined;
  /** Whether callers need the key of a workspace. */
  readonly needsAuthorization: boolean;
  /** Identifies the request by what stays the same when its caller retries. */
  readonly fingerprint: string;
  /** Version of the configuration that the route belongs to. */
  readonly version: number;
  /** Monotonic time by which the caller needs its answer. */
  readonly deadline: number;
}

/** Why a request without a target is refused; if undefined, for the reason of its last attempt. */
const UNPLACED_REASONS: Readonly<
  Record<Exclude<PickResult['kind'], 'picked'>, RefusalReason | undefined>
> = {
  full: 'overloaded',
  'rate-limited': 'rate-limited',
  'backing-off': 'backing-off',
  'no-target': undefined,
};

type Step = { readonly kind: 'done'; readonly outcome: CallerOutcome } | { readonly kind: 'again' };

const RETRY: Step = { kind: 'again' };

const ADMITTED_AT_ONCE: AdmissionResult = { kind: 'admitted', needsFreeSlot: false };

type ResultHandlers = {
  [Kind in AttemptResult['kind']]: (
    result: Extract<AttemptResult, { kind: Kind }>,
    target: string,
  ) => Step;
};

type RelayHandlers = {
  [Kind in RelayResult['kind']]: (result: Extract<RelayResult, { kind: Kind }>) => Step;
};

export default class RequestExecution {
  /** Targets that received the request, or could not be reached for it. */
  private readonly excluded = new Set<string>();

  /** Attempts that failed or were refused by the target; failed connections are counted apart. */
  private failedAttempts: number;

  private attemptsInProgress = 0;

  /** Set once the request is admitted to the targets of its service. */
  private admitted: Extract<AdmissionResult, { kind: 'admitted' }> | undefined;

  private readonly counts: RequestCounts;

  private readonly connectionFailures: ConnectionFailures;

  /** Whether peers were asked to send the request though this daemon reaches some targets. */
  private hasAskedPeers = false;

  /** Set after the request was sent on an idle connection that the target had dropped. */
  private needsNewConnection = false;

  /** The outcome for the caller if no retry succeeds; set once the request may have run. */
  private failure: CallerOutcome | undefined;

  private lastReason: RefusalReason = 'no-target';

  private readonly log: AttemptLog;

  private readonly resultHandlers: ResultHandlers = {
    answered: ({ answer }) => this.handleAnswer(answer),
    'not-run': () => {
      this.failedAttempts += 1;
      this.lastReason = 'refused-by-targets';
      return RETRY;
    },
    'not-sent': () => {
      this.connectionFailures.record();
      this.lastReason = 'unreachable';
      return RETRY;
    },
    broken: (_result, target) => {
      this.parts.crashes.recordCrash(this.plan.fingerprint, target);
      return this.handleFailure('connection-broke');
    },
    dropped: () => {
      this.needsNewConnection = true;
      return this.handleFailure('connection-broke');
    },
    timeout: () => this.handleFailure('timeout'),
    cancelled: () => ({ kind: 'done', outcome: { kind: 'cancelled' } }),
  };

  private readonly relayHandlers: RelayHandlers = {
    answered: ({ answer }) => ({ kind: 'done', outcome: { kind: 'answered', answer } }),
    refused: ({ reason, freeInMilliseconds }) => this.conclude(reason, freeInMilliseconds),
    'no-peer': () => {
      const hasOwnTargets = this.hasAskedPeers && !this.parts.reachability.isCutOff;
      return hasOwnTargets ? RETRY : this.conclude('unreachable');
    },
    broken: () => this.handleFailure('connection-broke'),
    timeout: () => this.handleFailure('timeout'),
    cancelled: () => ({ kind: 'done', outcome: { kind: 'cancelled' } }),
  };

  private readonly answerHandlers: Readonly<Record<AnswerVerdict, (answer: TargetAnswer) => Step>> =
    {
      final: (answer) => ({ kind: 'done', outcome: { kind: 'answered', answer } }),
      error: (answer) => {
        this.keepAsFailure(answer);
        const isRetriable = this.isIdempotent() && answer.bodyRest === undefined;
        return isRetriable ? RETRY : this.conclude(this.lastReason);
      },
      'not-genuine': (answer) => {
        answer.bodyRest?.destroy();
        return this.handleFailure('unsigned-answer');
      },
    };

  constructor(
    private readonly parts: RequestExecutionParts,
    private readonly plan: ExecutionPlan,
  ) {
    this.log = new AttemptLog(parts, plan.exchange.id, plan.service);
    this.connectionFailures = new ConnectionFailures(parts.reachability, parts.clock);
    const { relayed } = plan.exchange;
    this.failedAttempts = relayed?.attemptsMade ?? 0;
    this.counts = new RequestCounts(parts, plan.service, plan.workspace, relayed);
  }

  /** Attempts the request until there is an outcome for its caller. */
  public async execute(): Promise<CallerOutcome> {
    const step = await this.attempt();
    return step.kind === 'done' ? step.outcome : this.execute();
  }

  private async attempt(): Promise<Step> {
    if (this.plan.exchange.signal.aborted) return { kind: 'done', outcome: { kind: 'cancelled' } };
    const remaining = this.plan.deadline - this.parts.clock.now();
    if (remaining < MINIMUM_REMAINING_MILLISECONDS) return this.conclude('too-late');
    if (this.lacksTargets()) {
      return this.canRelay() ? this.relay() : this.conclude('unreachable');
    }
    if (this.prefersPeer()) {
      if (this.plan.exchange.relayed !== undefined) return this.conclude('unreachable');
      this.hasAskedPeers = true;
      return this.relay();
    }
    if (this.connectionFailures.isExhausted) return this.conclude('unreachable');
    if (this.admitted === undefined && this.failedAttempts === 0) return this.seekAdmission();
    const picked = this.pick();
    if (picked.kind !== 'picked') return this.concludeUnplaced(picked, remaining);
    if (this.failedAttempts > 0 && !this.withdrawRetry()) return this.conclude(this.lastReason);
    return this.send(picked.pick);
  }

  /**
   * Has the request admitted under overload, and counts it against its quota; the attempt starts anew
   * afterwards. Requests without workspaces do not compete here: they queue at the targets.
   */
  private async seekAdmission(): Promise<Step> {
    const result = await this.admit();
    if (result.kind === 'refused') return this.conclude('overloaded', result.freeInMilliseconds);
    if (result.kind !== 'admitted') return RETRY;
    this.admitted = result;
    const verdict = this.counts.claimQuota();
    if (verdict.kind === 'free') return RETRY;
    return this.conclude(verdict.kind, verdict.freeInMilliseconds);
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

  private concludeUnplaced(
    picked: Exclude<PickResult, { kind: 'picked' }>,
    remaining: number,
  ): Step {
    const { service, deadline, needsAuthorization } = this.plan;
    this.log.recordUnplaced(picked, remaining, this.excluded.size);
    const freeIn = picked.kind === 'backing-off' ? picked.freeInMilliseconds : undefined;
    const returnIn =
      picked.kind === 'full' && needsAuthorization
        ? this.parts.requestAdmission?.promiseReturn(service, deadline)
        : freeIn;
    return this.conclude(UNPLACED_REASONS[picked.kind] ?? this.lastReason, returnIn);
  }

  /** Whether this daemon, rather than some targets, is the one that cannot be reached. */
  private lacksTargets(): boolean {
    if (this.parts.reachability.isCutOff) return true;
    const isRelayed = this.plan.exchange.relayed !== undefined;
    return this.connectionFailures.suggestCutOff && (isRelayed || this.canRelay());
  }

  /**
   * Whether a peer should send the request, since this daemon lost most targets of the service. A
   * peer that lost them too refuses a relayed request, so that another one is asked; a daemon that
   * finds no peer uses the targets that are left.
   */
  private prefersPeer(): boolean {
    const { exchange, service } = this.plan;
    const mayAsk = exchange.relayed === undefined ? this.canRelay() : this.excluded.size === 0;
    return mayAsk && !this.hasAskedPeers && this.parts.lostTargets.hasLostMost(service);
  }

  /** A relayed request is not relayed again, and one that may have run only if it is idempotent. */
  private canRelay(): boolean {
    const { exchange, route, needsAuthorization } = this.plan;
    const isAvailable = this.parts.relay.isAvailable(needsAuthorization);
    if (exchange.relayed !== undefined || !isAvailable) return false;
    if (this.failedAttempts === 0) return true;
    return this.isIdempotent() && this.failedAttempts < route.maximumAttempts;
  }

  /** Has a peer execute the request, which counts its retries there. */
  private async relay(): Promise<Step> {
    const { exchange, route, deadline, version, needsAuthorization } = this.plan;
    if (!exchange.passOn()) return this.conclude('stopping');
    this.counts.countQuota();
    const result = await this.parts.relay.send({
      exchange,
      kind: sendKindOf(route),
      deadline,
      statement: {
        attemptsMade: this.failedAttempts,
        configurationVersion: version,
        ...this.counts.statement,
      },
      needsAuthorization,
    });
    const handle = this.relayHandlers[result.kind] as (result: RelayResult) => Step;
    return handle(result);
  }

  private pick(): PickResult {
    const { exchange, route, service, deadline } = this.plan;
    return this.parts.picker.pick({
      service,
      kind: route.kind,
      bodyBytes: exchange.body.length,
      answerBytes: this.parts.answerSizes?.meanOf(route.name) ?? 0,
      objectiveMilliseconds: route.objectiveMilliseconds,
      remainingMilliseconds: deadline - this.parts.clock.now(),
      excluded: this.excluded,
      needsFreeSlot: this.admitted?.needsFreeSlot ?? false,
    });
  }

  private withdrawRetry(): boolean {
    const { counters, logger, retryBudgetShares } = this.parts;
    const { exchange, route, service } = this.plan;
    const attempts = this.failedAttempts + this.attemptsInProgress;
    const isWithinLimit = attempts < route.maximumAttempts;
    const isGranted = isWithinLimit && retryBudgetShares.shareOf(service).withdraw();
    const denial = isWithinLimit ? 'budget-spent' : 'attempts-used';
    const outcome = isGranted ? 'sent-again' : denial;
    counters.add('retries', outcome);
    logger.info('request-retry', { request: exchange.id, service, attempts, outcome });
    return isGranted;
  }

  /** Sends to the picked target; an idempotent request that is slow there is hedged on a second one. */
  private async send(pick: Pick): Promise<Step> {
    const { hedging, clock } = this.parts;
    const { exchange, service, route } = this.plan;
    if (!exchange.passOn()) return this.conclude('stopping');
    const startedAt = clock.now();
    const first = this.start(pick);
    const attempt = { service, route, startedAt, result: first.result };
    const ended = first.result.then(() => 'ended' as const);
    const stalled = first.stalled.then(() => 'stalled' as const);
    const slow = hedging.watch(attempt).then(() => 'slow' as const);
    const event = await Promise.race([ended, stalled, slow]);
    const second = event === 'slow' ? this.hedgeSlow(attempt) : undefined;
    if (second !== undefined) return this.settleEither(first, second);
    const hasEnded = (await Promise.race([ended, stalled])) === 'ended';
    return this.awaitRest(first, hasEnded);
  }

  /** Awaits an attempt that has ended, or has stalled and may be given up or hedged. */
  private async awaitRest(first: RunningAttempt, hasEnded: boolean): Promise<Step> {
    const mayRelay = this.parts.reachability.isCutOff && this.isIdempotent() && this.canRelay();
    if (!hasEnded && mayRelay) return this.abandon(first);
    const second = hasEnded ? undefined : this.hedge();
    return second === undefined ? this.settle(first) : this.settleEither(first, second);
  }

  private start(pick: Pick): RunningAttempt {
    const { exchange, fields, route, service, deadline } = this.plan;
    const isFirst = this.excluded.size === 0 && (exchange.relayed?.attemptsMade ?? 0) === 0;
    if (isFirst) this.parts.hedging.recordRequest(service);
    this.excluded.add(pick.target.entry.id);
    this.counts.countFirstAttempt();
    const isRetry = this.failedAttempts + this.attemptsInProgress > 0;
    this.attemptsInProgress += 1;
    const request = {
      id: exchange.id,
      method: exchange.method,
      path: exchange.path,
      fields,
      body: exchange.body,
      kind: sendKindOf(route),
      deadline,
      isRetry,
      needsNewConnection: this.needsNewConnection,
    } as const;
    return startAttempt(this.parts, pick, service, request, exchange.signal);
  }

  private isIdempotent(): boolean {
    return isRepeatable(this.plan.route.kind);
  }

  /** Gives up an attempt at a target that this daemon does not reach any more. */
  private async abandon(attempt: RunningAttempt): Promise<Step> {
    attempt.cancel();
    const result = await attempt.result;
    if (result.kind !== 'cancelled' || this.plan.exchange.signal.aborted) {
      return this.settle(attempt);
    }
    this.attemptsInProgress -= 1;
    return this.handleFailure('connection-broke');
  }

  /** Hedges a slow attempt within the share of extra work that operators accept. */
  private hedgeSlow(attempt: HedgedAttempt): RunningAttempt | undefined {
    const { hedging, counters, clock } = this.parts;
    const pick = hedging.choose(attempt, () => this.pick(), this.plan.deadline);
    if (pick === undefined) return undefined;
    if (!this.withdrawRetry()) {
      hedging.recordDenial('no-retry-left');
      return undefined;
    }
    counters.add('retries', 'hedged');
    const second = this.start(pick);
    hedging.recordHedge(attempt, second.result);
    this.log.recordHedge(pick, clock.now() - attempt.startedAt);
    return second;
  }

  /** Hedges an attempt that has stalled, as a retry of one that is presumed lost. */
  private hedge(): RunningAttempt | undefined {
    if (!this.isIdempotent()) return undefined;
    const picked = this.pick();
    if (picked.kind !== 'picked' || !this.withdrawRetry()) return undefined;
    this.parts.counters.add('retries', 'hedged');
    return this.start(picked.pick);
  }

  private async settle(attempt: RunningAttempt): Promise<Step> {
    const result = await attempt.result;
    this.attemptsInProgress -= 1;
    this.parts.requestAdmission?.recheck(this.plan.service);
    if (!isSuccessful(result)) this.log.recordFailure(attempt, result);
    const handle = this.resultHandlers[result.kind] as (
      result: AttemptResult,
      target: string,
    ) => Step;
    return handle(result, attempt.pick.target.entry.id);
  }

  /** Uses the first successful answer of two attempts and cancels the other attempt. */
  private async settleEither(first: RunningAttempt, second: RunningAttempt): Promise<Step> {
    const winner = await Promise.race(
      [first, second].map(({ result }, index) => result.then(() => index)),
    );
    const [ended, other] = winner === 0 ? [first, second] : [second, first];
    const step = await this.settle(ended);
    if (!isSuccessful(await ended.result)) return this.settle(other);
    other.cancel();
    return step;
  }

  private handleAnswer(answer: TargetAnswer): Step {
    const { fingerprint, route } = this.plan;
    this.parts.crashes.recordAnswer(fingerprint);
    if (answer.isSigned) {
      this.parts.answerSizes?.record(route.name, lengthOf(answer));
    }
    return this.answerHandlers[judgeAnswer(answer)](answer);
  }

  /** Keeps an answer that the caller gets if no other target has a better one. */
  private keepAsFailure(answer: TargetAnswer): void {
    this.failedAttempts += 1;
    this.failure = { kind: 'answered', answer };
  }

  private handleFailure(reason: RefusalReason): Step {
    this.failedAttempts += 1;
    this.failure ??= refuse(reason);
    const isRetriable = this.isIdempotent() && !this.parts.crashes.isHeld(this.plan.fingerprint);
    return isRetriable ? RETRY : { kind: 'done', outcome: this.failure };
  }

  /** Ends the attempts: the caller gets the failure of a target, or a refusal if nothing ran. */
  private conclude(reason: RefusalReason, freeInMilliseconds?: number): Step {
    return { kind: 'done', outcome: this.failure ?? refuse(reason, freeInMilliseconds) };
  }
}

function sendKindOf({ kind }: GatewayRoute): OutgoingRequest['kind'] {
  return isRepeatable(kind) ? 'repeatable' : 'once';
}
