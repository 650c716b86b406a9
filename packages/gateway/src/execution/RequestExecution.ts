/**
 * Executes one request on targets. It is retried on another target only if it certainly did not run
 * or is idempotent, within the attempt limit of its route and the retry budget of its service.
 */
import type { Counters, Logger } from '@cactusrun/core';
import type { CrashTracker } from '@cactusrun/requests';
import AttemptLog from './AttemptLog.js';
import type { CallerExchange, CallerOutcome } from '../callers/CallerExchange.js';
import { refuse } from '../callers/CallerExchange.js';
import type { GatewayRoute } from '../state/GatewayConfiguration.js';
import type { RefusalReason } from '../callers/Refusal.js';
import type RetryBudgetShares from './RetryBudgetShares.js';
import type { AttemptParts, RunningAttempt } from './RunningAttempt.js';
import { isSuccessful, SERVER_ERROR_STATUS, startAttempt } from './RunningAttempt.js';
import type { AttemptResult, TargetAnswer } from '../connections/TargetAttempt.js';
import type TargetPicker from '../placement/TargetPicker.js';
import type { Pick, PickResult } from '../placement/TargetPicker.js';

/** Failed connections after which a request is refused. */
const MAXIMUM_FAILED_CONNECTIONS = 8;
/** Remaining time below which no further attempt is made. */
const MINIMUM_REMAINING_MILLISECONDS = 30;
const REDIRECT_STATUS = 300;
/**
 * Share of the remaining time for which a request that targets refused waits for the retry budget.
 * The rest is left to its caller, who may try elsewhere after the refusal.
 */
const BUDGET_WAIT_SHARE = 0.5;
/** First pause of that wait, doubled up to the longest. */
const FIRST_BUDGET_PAUSE_MILLISECONDS = 150;
const LONGEST_BUDGET_PAUSE_MILLISECONDS = 600;

export interface RequestExecutionParts extends AttemptParts {
  readonly picker: TargetPicker;
  readonly crashes: CrashTracker;
  readonly retryBudgetShares: RetryBudgetShares;
  readonly counters: Counters;
  readonly logger: Logger;
}

export interface ExecutionPlan {
  readonly exchange: CallerExchange;
  readonly route: GatewayRoute;
  readonly service: string;
  /** Identifies the request by what stays the same when its caller retries. */
  readonly fingerprint: string;
  /** Monotonic time by which the caller needs its answer. */
  readonly deadline: number;
}

type RetryDecision = 'sent-again' | 'budget-spent' | 'attempts-used';

type Step = { readonly kind: 'done'; readonly outcome: CallerOutcome } | { readonly kind: 'again' };

const RETRY: Step = { kind: 'again' };

type ResultHandlers = {
  [Kind in AttemptResult['kind']]: (
    result: Extract<AttemptResult, { kind: Kind }>,
    target: string,
  ) => Step;
};

export default class RequestExecution {
  /** Targets that received the request, or could not be reached for it. */
  private readonly excluded = new Set<string>();

  /** Attempts that failed or were refused by the target; failed connections are counted apart. */
  private failedAttempts = 0;

  private attemptsInProgress = 0;

  private failedConnections = 0;

  /** Set after the request was sent on an idle connection that the target had dropped. */
  private needsNewConnection = false;

  /** The outcome for the caller if no retry succeeds; set once the request may have run. */
  private failure: CallerOutcome | undefined;

  private lastReason: RefusalReason = 'no-target';

  /** Monotonic time until which the request waits for the retry budget; set when it first does. */
  private budgetWaitEnd: number | undefined;

  private budgetPause = FIRST_BUDGET_PAUSE_MILLISECONDS;

  private readonly log: AttemptLog;

  private readonly resultHandlers: ResultHandlers = {
    answered: ({ answer }) => this.handleAnswer(answer),
    'not-run': () => {
      this.failedAttempts += 1;
      this.lastReason = 'refused-by-targets';
      return RETRY;
    },
    'not-sent': () => {
      this.failedConnections += 1;
      this.lastReason = 'unreachable';
      return this.failedConnections < MAXIMUM_FAILED_CONNECTIONS
        ? RETRY
        : this.conclude('unreachable');
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

  constructor(
    private readonly parts: RequestExecutionParts,
    private readonly plan: ExecutionPlan,
  ) {
    this.log = new AttemptLog(parts, plan.exchange.id, plan.service);
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
    const picked = this.pick();
    if (picked.kind !== 'picked') {
      this.log.recordUnplaced(picked, remaining, this.excluded.size);
      return this.conclude(picked.kind === 'full' ? 'overloaded' : this.lastReason);
    }
    if (this.failedAttempts === 0) return this.send(picked.pick);
    const decision = this.withdrawRetry();
    if (decision === 'sent-again') return this.send(picked.pick);
    return decision === 'budget-spent' ? this.awaitBudget() : this.conclude(this.lastReason);
  }

  /**
   * Pauses a request that certainly was not run until the retry budget may have grown: while targets
   * refuse many requests for some seconds, most of them still have the time to be served after it.
   */
  private async awaitBudget(): Promise<Step> {
    const { clock } = this.parts;
    const now = clock.now();
    this.budgetWaitEnd ??= now + BUDGET_WAIT_SHARE * (this.plan.deadline - now);
    const mayWait = this.failure === undefined && !this.plan.exchange.isDraining();
    if (!mayWait || now + this.budgetPause > this.budgetWaitEnd) {
      return this.conclude(this.lastReason);
    }
    await clock.sleep(this.budgetPause, this.plan.exchange.signal);
    this.budgetPause = Math.min(LONGEST_BUDGET_PAUSE_MILLISECONDS, 2 * this.budgetPause);
    return RETRY;
  }

  private pick(): PickResult {
    const { exchange, route, service, deadline } = this.plan;
    return this.parts.picker.pick({
      service,
      kind: route.kind,
      bodyBytes: exchange.body.length,
      objectiveMilliseconds: route.objectiveMilliseconds,
      remainingMilliseconds: deadline - this.parts.clock.now(),
      excluded: this.excluded,
    });
  }

  private withdrawRetry(): RetryDecision {
    const { counters, logger } = this.parts;
    const { exchange, route, service } = this.plan;
    const attempts = this.failedAttempts + this.attemptsInProgress;
    const outcome = this.decideRetry(attempts < route.maximumAttempts);
    counters.add('retries', outcome);
    logger.info('request-retry', { request: exchange.id, service, attempts, outcome });
    return outcome;
  }

  private decideRetry(isWithinLimit: boolean): RetryDecision {
    if (!isWithinLimit) return 'attempts-used';
    const { retryBudgetShares } = this.parts;
    return retryBudgetShares.shareOf(this.plan.service).withdraw() ? 'sent-again' : 'budget-spent';
  }

  /** Sends to the picked target; an idempotent request that stalls there is hedged on a second one. */
  private async send(pick: Pick): Promise<Step> {
    const first = this.start(pick);
    const ended = first.result.then(() => true);
    const hasEnded = await Promise.race([ended, first.stalled.then(() => false)]);
    const second = hasEnded ? undefined : this.hedge();
    return second === undefined ? this.settle(first) : this.settleEither(first, second);
  }

  private start(pick: Pick): RunningAttempt {
    const { exchange, route, service, deadline } = this.plan;
    this.excluded.add(pick.target.entry.id);
    const isRetry = this.failedAttempts + this.attemptsInProgress > 0;
    this.attemptsInProgress += 1;
    const request = {
      id: exchange.id,
      method: exchange.method,
      path: exchange.path,
      fields: exchange.fields,
      body: exchange.body,
      kind: route.kind === 'idempotent' ? 'repeatable' : 'once',
      deadline,
      isRetry,
      needsNewConnection: this.needsNewConnection,
    } as const;
    return startAttempt(this.parts, pick, service, request, exchange.signal);
  }

  private hedge(): RunningAttempt | undefined {
    if (this.plan.route.kind !== 'idempotent') return undefined;
    const picked = this.pick();
    if (picked.kind !== 'picked' || this.withdrawRetry() !== 'sent-again') return undefined;
    this.parts.counters.add('retries', 'hedged');
    return this.start(picked.pick);
  }

  private async settle(attempt: RunningAttempt): Promise<Step> {
    const result = await attempt.result;
    this.attemptsInProgress -= 1;
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
    this.parts.crashes.recordAnswer(this.plan.fingerprint);
    if (answer.status >= SERVER_ERROR_STATUS) {
      this.failedAttempts += 1;
      this.failure = { kind: 'answered', answer };
      const isRetriable = this.plan.route.kind === 'idempotent' && answer.bodyRest === undefined;
      return isRetriable ? RETRY : { kind: 'done', outcome: this.failure };
    }
    const isGenuine = answer.isSigned || answer.status >= REDIRECT_STATUS;
    if (!isGenuine) {
      answer.bodyRest?.destroy();
      return this.handleFailure('unsigned-answer');
    }
    if (!this.wouldCutOthers(answer))
      return { kind: 'done', outcome: { kind: 'answered', answer } };
    this.failedAttempts += 1;
    this.failure = { kind: 'answered', answer };
    return RETRY;
  }

  /**
   * Whether the answer, which has no length, would end the connection while later requests of the
   * caller are being executed. Another target's answer is preferred then, if there is one in time.
   */
  private wouldCutOthers(answer: TargetAnswer): boolean {
    const { exchange, route } = this.plan;
    const isWhole = answer.bodyRest === undefined;
    return !answer.isFramed && isWhole && route.kind === 'idempotent' && exchange.isFollowed();
  }

  private handleFailure(reason: RefusalReason): Step {
    this.failedAttempts += 1;
    this.failure ??= refuse(reason);
    const { route, fingerprint } = this.plan;
    const isRetriable = route.kind === 'idempotent' && !this.parts.crashes.isHeld(fingerprint);
    return isRetriable ? RETRY : { kind: 'done', outcome: this.failure };
  }

  /** Ends the attempts: the caller gets the failure of a target, or a refusal if nothing ran. */
  private conclude(reason: RefusalReason): Step {
    return { kind: 'done', outcome: this.failure ?? refuse(reason) };
  }
}
