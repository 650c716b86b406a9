/**
 * One request on its way to targets. It is sent to a second one only if it has surely not run or may
 * be repeated, within the attempts of its route and the retry budget of its service.
 */
import type { Counters, Logger } from '@cactusrun/core';
import type { CrashWatch } from '@cactusrun/requests';
import type { CallerCall, CallerOutcome } from './CallerCall.js';
import { refuse } from './CallerCall.js';
import type { GatewayRoute } from './GatewayConfiguration.js';
import type { RefusalReason } from './Refusal.js';
import type RetryAllowances from './RetryAllowances.js';
import type { CallResult, TargetAnswer } from './TargetCall.js';
import type TargetPicker from './TargetPicker.js';
import type { Pick, PickResult } from './TargetPicker.js';
import type { TargetRun, TargetRunParts } from './TargetRun.js';
import { isGood, SERVER_ERROR_STATUS, startTargetRun } from './TargetRun.js';

/** Connections that are tried for one request. */
const CONNECT_TRIES = 8;
/** Time that must be left for another sending to be worth it. */
const SMALLEST_REMAINING_MILLISECONDS = 30;
const REDIRECT_STATUS = 300;

export interface RequestJourneyParts extends TargetRunParts {
  readonly picker: TargetPicker;
  readonly crashes: CrashWatch;
  readonly allowances: RetryAllowances;
  readonly counters: Counters;
  readonly logger: Logger;
}

export interface JourneyPlan {
  readonly call: CallerCall;
  readonly route: GatewayRoute;
  readonly service: string;
  /** Names the request by what its caller sends again. */
  readonly fingerprint: string;
  /** Monotonic time at which the caller must have its answer. */
  readonly deadline: number;
}

type Step = { readonly kind: 'done'; readonly outcome: CallerOutcome } | { readonly kind: 'again' };

const AGAIN: Step = { kind: 'again' };

type FollowResult = {
  [Kind in CallResult['kind']]: (
    result: Extract<CallResult, { kind: Kind }>,
    target: string,
  ) => Step;
};

export default class RequestJourney {
  /** Targets that had the request, or could not be reached for it. */
  private readonly excluded = new Set<string>();

  /** Sendings that ended, run or not. */
  private sendings = 0;

  /** Sendings that have not ended. */
  private underWay = 0;

  private connectTries = 0;

  /** Set when a target had dropped the idle connection that the request was sent on. */
  private needsNewConnection = false;

  /** The last failure after which the request may have run. */
  private failure: CallerOutcome | undefined;

  private lastReason: RefusalReason = 'no-target';

  private readonly followers: FollowResult = {
    answered: ({ answer }) => this.takeAnswer(answer),
    'not-run': () => {
      this.sendings += 1;
      this.lastReason = 'refused-by-targets';
      return AGAIN;
    },
    'not-sent': () => {
      this.connectTries += 1;
      this.lastReason = 'unreachable';
      return this.connectTries < CONNECT_TRIES ? AGAIN : this.conclude('unreachable');
    },
    broken: (_result, target) => {
      this.parts.crashes.noteCrash(this.plan.fingerprint, target);
      return this.failRun('connection-broke');
    },
    dropped: () => {
      this.needsNewConnection = true;
      return this.failRun('connection-broke');
    },
    timeout: () => this.failRun('timeout'),
    cancelled: () => ({ kind: 'done', outcome: { kind: 'cancelled' } }),
  };

  constructor(
    private readonly parts: RequestJourneyParts,
    private readonly plan: JourneyPlan,
  ) {}

  /** Sends the request until there is an outcome for its caller. */
  public async travel(): Promise<CallerOutcome> {
    const step = await this.attempt();
    return step.kind === 'done' ? step.outcome : this.travel();
  }

  private async attempt(): Promise<Step> {
    if (this.plan.call.signal.aborted) return { kind: 'done', outcome: { kind: 'cancelled' } };
    const remaining = this.plan.deadline - this.parts.clock.now();
    if (remaining < SMALLEST_REMAINING_MILLISECONDS) return this.conclude('too-late');
    const picked = this.pick();
    if (picked.kind !== 'picked') {
      this.logUnplaced(picked, remaining);
      return this.conclude(picked.kind === 'full' ? 'overloaded' : this.lastReason);
    }
    if (this.sendings > 0 && !this.maySendAgain()) return this.conclude(this.lastReason);
    return this.send(picked.pick);
  }

  private pick(): PickResult {
    const { call, route, service, deadline } = this.plan;
    return this.parts.picker.pick({
      service,
      kind: route.kind,
      bodyBytes: call.body.length,
      objectiveMilliseconds: route.objectiveMilliseconds,
      remainingMilliseconds: deadline - this.parts.clock.now(),
      excluded: this.excluded,
    });
  }

  private maySendAgain(): boolean {
    const { counters, logger, allowances } = this.parts;
    const { call, route, service } = this.plan;
    const attempts = this.sendings + this.underWay;
    const isAllowed = attempts < route.maximumAttempts;
    const isPaid = isAllowed && allowances.of(service).withdraw();
    const unpaid = isAllowed ? 'budget-spent' : 'attempts-used';
    const outcome = isPaid ? 'sent-again' : unpaid;
    counters.add('retries', outcome);
    logger.info('request-retry', { request: call.id, service, attempts, outcome });
    return isPaid;
  }

  /** Sends to the picked target; an idempotent request that stalls there goes to a second one. */
  private async send(pick: Pick): Promise<Step> {
    const first = this.start(pick);
    const ended = first.result.then(() => true);
    const isOver = await Promise.race([ended, first.stalled.then(() => false)]);
    const second = isOver ? undefined : this.hedge();
    return second === undefined ? this.settle(first) : this.settleEither(first, second);
  }

  private start(pick: Pick): TargetRun {
    const { call, route, service, deadline } = this.plan;
    this.excluded.add(pick.target.entry.id);
    const isRepeated = this.sendings + this.underWay > 0;
    this.underWay += 1;
    const request = {
      id: call.id,
      method: call.method,
      path: call.path,
      fields: call.fields,
      body: call.body,
      kind: route.kind === 'idempotent' ? 'repeatable' : 'once',
      deadline,
      isRepeated,
      needsNewConnection: this.needsNewConnection,
    } as const;
    return startTargetRun(this.parts, pick, service, request, call.signal);
  }

  private hedge(): TargetRun | undefined {
    if (this.plan.route.kind !== 'idempotent') return undefined;
    const picked = this.pick();
    if (picked.kind !== 'picked' || !this.maySendAgain()) return undefined;
    this.parts.counters.add('retries', 'hedged');
    return this.start(picked.pick);
  }

  private async settle(run: TargetRun): Promise<Step> {
    const result = await run.result;
    this.underWay -= 1;
    if (!isGood(result)) this.logFailure(run, result);
    const follow = this.followers[result.kind] as (result: CallResult, target: string) => Step;
    return follow(result, run.pick.target.entry.id);
  }

  /** The first good answer of two counts, and the other request is cancelled. */
  private async settleEither(first: TargetRun, second: TargetRun): Promise<Step> {
    const winner = await Promise.race(
      [first, second].map(({ result }, index) => result.then(() => index)),
    );
    const [ended, other] = winner === 0 ? [first, second] : [second, first];
    const step = await this.settle(ended);
    if (!isGood(await ended.result)) return this.settle(other);
    other.cancel();
    return step;
  }

  private takeAnswer(answer: TargetAnswer): Step {
    this.parts.crashes.noteAnswer(this.plan.fingerprint);
    if (answer.status >= SERVER_ERROR_STATUS) {
      this.sendings += 1;
      this.failure = { kind: 'answered', answer };
      const isRepeatable = this.plan.route.kind === 'idempotent' && answer.rest === undefined;
      return isRepeatable ? AGAIN : { kind: 'done', outcome: this.failure };
    }
    const isGenuine = answer.isSigned || answer.status >= REDIRECT_STATUS;
    return isGenuine
      ? { kind: 'done', outcome: { kind: 'answered', answer } }
      : this.failRun('unsigned-answer');
  }

  private failRun(reason: RefusalReason): Step {
    this.sendings += 1;
    this.failure ??= refuse(reason);
    const { route, fingerprint } = this.plan;
    const isRepeatable = route.kind === 'idempotent' && !this.parts.crashes.isHeld(fingerprint);
    return isRepeatable ? AGAIN : { kind: 'done', outcome: this.failure };
  }

  /** No further sending: the caller gets a failure of a target, or a refusal if nothing ran. */
  private conclude(reason: RefusalReason): Step {
    return { kind: 'done', outcome: this.failure ?? refuse(reason) };
  }

  private logUnplaced(picked: Exclude<PickResult, { kind: 'picked' }>, remaining: number): void {
    this.parts.logger.info('request-unplaced', {
      request: this.plan.call.id,
      service: this.plan.service,
      outcome: picked.kind,
      remainingMilliseconds: Math.round(remaining),
      expectedMilliseconds:
        'expectedMilliseconds' in picked ? Math.round(picked.expectedMilliseconds) : undefined,
      targetsExcluded: this.excluded.size,
    });
  }

  private logFailure(run: TargetRun, result: CallResult): void {
    const { counters, logger } = this.parts;
    const { target, failureProbability, requestsThere, expectedMilliseconds, due } = run.pick;
    counters.add('call_failures', result.kind);
    logger.info('call-failed', {
      request: this.plan.call.id,
      target: target.entry.id,
      service: this.plan.service,
      result: result.kind,
      detail: 'detail' in result ? result.detail : undefined,
      status: result.kind === 'answered' ? result.answer.status : undefined,
      failureProbability: Math.round(failureProbability * 100) / 100,
      requestsThere: Math.round(requestsThere),
      expectedMilliseconds: Math.round(expectedMilliseconds),
      due,
      targetSeenMilliseconds: Math.round(this.parts.clock.now() - target.belief.seenAt),
    });
  }
}
