/**
 * Owns one request of a caller from its route to its outcome. A request is sent to a second target
 * only if it has surely not run or may be repeated, within the attempts of its route and the retry
 * budget of its service.
 */
import { createHash } from 'node:crypto';
import type { Counters, Logger, Random } from '@cactusrun/core';
import type { CrashWatch } from '@cactusrun/requests';
import type { GatewayRoute } from './GatewayConfiguration.js';
import { chooseService, findRoute } from './GatewayConfiguration.js';
import type GatewayState from './GatewayState.js';
import type { RefusalReason } from './Refusal.js';
import type RetryAllowance from './RetryAllowance.js';
import type { CallResult, HeaderFields, TargetAnswer } from './TargetCall.js';
import type TargetPicker from './TargetPicker.js';
import type { Pick, PickResult } from './TargetPicker.js';
import type { TargetRun, TargetRunParts } from './TargetRun.js';
import { isGood, SERVER_ERROR_STATUS, startTargetRun } from './TargetRun.js';

/** An answer is given this long before the caller's deadline. */
const ANSWER_MARGIN_MILLISECONDS = 40;
/** Connections that are tried for one request. */
const CONNECT_TRIES = 8;
/** Time that must be left for another sending to be worth it. */
const SMALLEST_REMAINING_MILLISECONDS = 30;

export interface CallerCall {
  readonly id: string;
  readonly host: string;
  readonly method: string;
  readonly path: string;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** Time that the caller waits, counted from `receivedAt`. */
  readonly deadlineMilliseconds: number | undefined;
  /** Monotonic time at which the head of the request was read. */
  readonly receivedAt: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

export type CallerOutcome =
  | { readonly kind: 'answered'; readonly answer: TargetAnswer }
  | { readonly kind: 'refused'; readonly reason: RefusalReason }
  | { readonly kind: 'cancelled' };

export interface RequestProxyParts extends TargetRunParts {
  readonly state: GatewayState;
  readonly picker: TargetPicker;
  readonly crashes: CrashWatch;
  readonly allowanceOf: (service: string) => RetryAllowance;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
}

/** A request on its way, and what has come of it so far. */
interface Journey {
  readonly call: CallerCall;
  readonly route: GatewayRoute;
  readonly service: string;
  readonly fingerprint: string;
  readonly deadline: number;
  readonly excluded: Set<string>;
  /** Targets that may have run it. */
  runs: number;
  /** Targets that it was sent to, run or not. */
  sendings: number;
  connectTries: number;
  /** Sendings that have not ended. */
  underWay: number;
  /** The last failure of a target that ran it. */
  failure: CallerOutcome | undefined;
  lastReason: RefusalReason;
}

type Step = { readonly kind: 'done'; readonly outcome: CallerOutcome } | { readonly kind: 'again' };

const AGAIN: Step = { kind: 'again' };

export default class RequestProxy {
  constructor(private readonly parts: RequestProxyParts) {}

  public async handle(call: CallerCall): Promise<CallerOutcome> {
    const { state, random, crashes } = this.parts;
    const { configuration } = state;
    if (configuration === undefined || !state.isComplete) return refuse('no-configuration');
    const route = findRoute(configuration, call.host, call.path);
    if (route === undefined) return refuse('no-route');
    const service = chooseService(route, random.unit());
    if (service === undefined) return refuse('no-target');
    const fingerprint = fingerprintOf(call);
    if (crashes.isHeld(fingerprint)) return refuse('held-back');
    this.parts.allowanceOf(service).deposit();
    const outcome = await this.travel({
      call,
      route,
      service,
      fingerprint,
      deadline: deadlineOf(call, route),
      excluded: new Set(),
      runs: 0,
      sendings: 0,
      connectTries: 0,
      underWay: 0,
      failure: undefined,
      lastReason: 'no-target',
    });
    this.log(call, route, service, outcome);
    return outcome;
  }

  private async travel(journey: Journey): Promise<CallerOutcome> {
    const step = await this.attempt(journey);
    return step.kind === 'done' ? step.outcome : this.travel(journey);
  }

  private async attempt(journey: Journey): Promise<Step> {
    const remaining = journey.deadline - this.parts.clock.now();
    if (remaining < SMALLEST_REMAINING_MILLISECONDS) return this.conclude(journey, 'too-late');
    const picked = this.pick(journey);
    if (picked.kind === 'no-target') return this.conclude(journey, journey.lastReason);
    if (picked.kind === 'full') return this.conclude(journey, 'overloaded');
    if (journey.sendings > 0 && !this.maySendAgain(journey)) {
      return this.conclude(journey, journey.lastReason);
    }
    return this.send(journey, picked.pick);
  }

  private pick(journey: Journey): PickResult {
    const { picker, clock } = this.parts;
    return picker.pick({
      service: journey.service,
      kind: journey.route.kind,
      bodyBytes: journey.call.body.length,
      objectiveMilliseconds: journey.route.objectiveMilliseconds,
      remainingMilliseconds: journey.deadline - clock.now(),
      excluded: journey.excluded,
    });
  }

  private maySendAgain(journey: Journey): boolean {
    const { counters, allowanceOf } = this.parts;
    const isAllowed = journey.sendings + journey.underWay < journey.route.maximumAttempts;
    const isPaid = isAllowed && allowanceOf(journey.service).withdraw();
    const reason = isAllowed ? (isPaid ? 'sent-again' : 'budget-spent') : 'attempts-used';
    counters.add('retries', reason);
    return isPaid;
  }

  /** Sends to the picked target; an idempotent request that stalls there goes to a second one. */
  private async send(journey: Journey, pick: Pick): Promise<Step> {
    const first = this.start(journey, pick);
    const ended = first.result.then(() => true);
    const isOver = await Promise.race([ended, first.stalled.then(() => false)]);
    const second = isOver ? undefined : this.hedge(journey);
    return second === undefined
      ? this.settle(journey, first)
      : this.settleEither(journey, first, second);
  }

  private start(journey: Journey, pick: Pick): TargetRun {
    const { call, route, service, deadline } = journey;
    journey.excluded.add(pick.target.entry.id);
    journey.underWay += 1;
    const request = {
      id: call.id,
      method: call.method,
      path: call.path,
      fields: call.fields,
      body: call.body,
      kind: route.kind === 'idempotent' ? 'repeatable' : 'once',
      deadline,
    } as const;
    return startTargetRun(this.parts, pick, service, request, call.signal);
  }

  private hedge(journey: Journey): TargetRun | undefined {
    if (journey.route.kind !== 'idempotent') return undefined;
    const picked = this.pick(journey);
    if (picked.kind !== 'picked' || !this.maySendAgain(journey)) return undefined;
    this.parts.counters.add('retries', 'hedged');
    return this.start(journey, picked.pick);
  }

  private async settle(journey: Journey, run: TargetRun): Promise<Step> {
    const result = await run.result;
    journey.underWay -= 1;
    return this.follow(journey, run.target, result);
  }

  /** The first good answer of two counts, and the other request is cancelled. */
  private async settleEither(journey: Journey, first: TargetRun, second: TargetRun): Promise<Step> {
    const winner = await Promise.race(
      [first, second].map(({ result }, index) => result.then(() => index)),
    );
    const [ended, other] = winner === 0 ? [first, second] : [second, first];
    const step = await this.settle(journey, ended);
    if (!isGood(await ended.result)) return this.settle(journey, other);
    other.cancel();
    return step;
  }

  private follow(journey: Journey, target: string, result: CallResult): Step {
    const { crashes, counters, logger } = this.parts;
    if (!isGood(result)) {
      counters.add('call_failures', result.kind);
      logger.info('call-failed', {
        request: journey.call.id,
        target,
        service: journey.service,
        result: result.kind,
        detail: 'detail' in result ? result.detail : undefined,
        status: result.kind === 'answered' ? result.answer.status : undefined,
      });
    }
    switch (result.kind) {
      case 'answered':
        crashes.noteAnswer(journey.fingerprint);
        return this.takeAnswer(journey, result.answer);
      case 'not-executed':
        journey.sendings += 1;
        journey.lastReason = 'refused-by-targets';
        return AGAIN;
      case 'not-sent':
        journey.connectTries += 1;
        journey.lastReason = 'unreachable';
        return journey.connectTries < CONNECT_TRIES ? AGAIN : this.conclude(journey, 'unreachable');
      case 'broken':
        crashes.noteCrash(journey.fingerprint, target);
        return this.failRun(journey, 'connection-broke');
      case 'timeout':
        return this.failRun(journey, 'timeout');
      default:
        return { kind: 'done', outcome: { kind: 'cancelled' } };
    }
  }

  private takeAnswer(journey: Journey, answer: TargetAnswer): Step {
    if (answer.status < SERVER_ERROR_STATUS) {
      const isGenuine = answer.isSigned || answer.status >= 300;
      return isGenuine
        ? { kind: 'done', outcome: { kind: 'answered', answer } }
        : this.failRun(journey, 'unsigned-answer');
    }
    journey.runs += 1;
    journey.sendings += 1;
    journey.failure = { kind: 'answered', answer };
    const isRepeatable = journey.route.kind === 'idempotent' && answer.rest === undefined;
    return isRepeatable ? AGAIN : { kind: 'done', outcome: journey.failure };
  }

  private failRun(journey: Journey, reason: RefusalReason): Step {
    journey.runs += 1;
    journey.sendings += 1;
    journey.failure ??= refuse(reason);
    if (journey.route.kind === 'idempotent' && !this.parts.crashes.isHeld(journey.fingerprint)) {
      return AGAIN;
    }
    return { kind: 'done', outcome: journey.failure };
  }

  /** No further sending: the caller gets a failure of a target, or a refusal if nothing ran. */
  private conclude(journey: Journey, reason: RefusalReason): Step {
    return { kind: 'done', outcome: journey.failure ?? refuse(reason) };
  }

  private log(
    call: CallerCall,
    route: GatewayRoute,
    service: string,
    outcome: CallerOutcome,
  ): void {
    const { counters, logger, clock, state } = this.parts;
    const milliseconds = Math.round(clock.now() - call.receivedAt);
    counters.time('request', milliseconds);
    const result = outcome.kind === 'refused' ? outcome.reason : outcome.kind;
    const status = outcome.kind === 'answered' ? outcome.answer.status : undefined;
    counters.add('outcomes', status !== undefined && status >= 500 ? 'target-failed' : result);
    if (outcome.kind === 'answered' && outcome.answer.status < SERVER_ERROR_STATUS) return;
    logger.info('request-failed', {
      request: call.id,
      route: route.name,
      service,
      version: state.configuration?.version,
      result,
      status,
      milliseconds,
    });
  }
}

function refuse(reason: RefusalReason): CallerOutcome {
  return { kind: 'refused', reason };
}

function deadlineOf(call: CallerCall, route: GatewayRoute): number {
  const waits = Math.min(
    route.timeoutMilliseconds,
    (call.deadlineMilliseconds ?? Number.POSITIVE_INFINITY) - ANSWER_MARGIN_MILLISECONDS,
  );
  return call.receivedAt + waits;
}

/** Names a request by what its caller sends again: method, path and body. */
function fingerprintOf(call: CallerCall): string {
  return createHash('sha1')
    .update(`${call.method} ${call.host}${call.path}\n`)
    .update(call.body)
    .digest('base64url');
}
