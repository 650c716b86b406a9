/**
 * Owns one request of a caller from its route to its outcome. A request is sent to a second target
 * only if it has surely not run or may be repeated, within the attempts of its route and the retry
 * budget of its service.
 */
import { createHash } from 'node:crypto';
import type { Clock, Counters, Logger, Random } from '@cactusrun/core';
import type { CrashWatch } from '@cactusrun/requests';
import type CallBook from './CallBook.js';
import type { GatewayRoute } from './GatewayConfiguration.js';
import { chooseService, findRoute } from './GatewayConfiguration.js';
import type GatewayState from './GatewayState.js';
import type { CallOutcome } from './PeerMessage.js';
import type { RefusalReason } from './Refusal.js';
import type RetryAllowance from './RetryAllowance.js';
import type ServiceTimes from './ServiceTimes.js';
import type { CallResult, HeaderFields, TargetAnswer } from './TargetCall.js';
import type TargetConnections from './TargetConnections.js';
import type TargetPicker from './TargetPicker.js';
import type { Pick } from './TargetPicker.js';

/** An answer is given this long before the caller's deadline. */
const ANSWER_MARGIN_MILLISECONDS = 40;
/** Connections that are tried for one request. */
const CONNECT_TRIES = 8;
/** Time that must be left for another sending to be worth it. */
const SMALLEST_REMAINING_MILLISECONDS = 30;
const SERVER_ERROR_STATUS = 500;

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

export interface RequestProxyParts {
  readonly state: GatewayState;
  readonly picker: TargetPicker;
  readonly calls: CallBook;
  readonly connections: TargetConnections;
  readonly times: ServiceTimes;
  readonly crashes: CrashWatch;
  readonly allowanceOf: (service: string) => RetryAllowance;
  readonly clock: Clock;
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
    const { picker, clock } = this.parts;
    const remainingMilliseconds = journey.deadline - clock.now();
    if (remainingMilliseconds < SMALLEST_REMAINING_MILLISECONDS) {
      return this.conclude(journey, 'too-late');
    }
    const result = picker.pick({
      service: journey.service,
      kind: journey.route.kind,
      bodyBytes: journey.call.body.length,
      objectiveMilliseconds: journey.route.objectiveMilliseconds,
      remainingMilliseconds,
      excluded: journey.excluded,
    });
    if (result.kind === 'no-target') return this.conclude(journey, journey.lastReason);
    if (result.kind === 'full') return this.conclude(journey, 'overloaded');
    if (journey.sendings > 0 && !this.maySendAgain(journey)) {
      return this.conclude(journey, journey.lastReason);
    }
    return this.send(journey, result.pick);
  }

  private maySendAgain(journey: Journey): boolean {
    const { counters, allowanceOf } = this.parts;
    const isAllowed = journey.sendings < journey.route.maximumAttempts;
    const isPaid = isAllowed && allowanceOf(journey.service).withdraw();
    const reason = isAllowed ? (isPaid ? 'sent-again' : 'budget-spent') : 'attempts-used';
    counters.add('retries', reason);
    return isPaid;
  }

  private async send(journey: Journey, pick: Pick): Promise<Step> {
    const { calls, connections, clock } = this.parts;
    const { call, route } = journey;
    const { entry } = pick.target;
    journey.excluded.add(entry.id);
    const startedAt = clock.now();
    calls.begin(pick.target);
    const result = await connections.send(
      entry,
      {
        id: call.id,
        method: call.method,
        path: call.path,
        fields: call.fields,
        body: call.body,
        kind: route.kind === 'idempotent' ? 'repeatable' : 'once',
        deadline: journey.deadline,
      },
      call.signal,
    );
    const there = result.kind === 'answered' ? result.answer.requestsThere : undefined;
    calls.end(entry.id, outcomeOf(result), there);
    if (isGood(result)) {
      const rounds = (pick.requestsThere + 1) / entry.slots;
      this.parts.times.note(journey.service, entry.id, clock.now() - startedAt, rounds);
    }
    return this.follow(journey, entry.id, result);
  }

  private follow(journey: Journey, target: string, result: CallResult): Step {
    const { calls, crashes, counters, logger } = this.parts;
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
        if (!result.isRefused) calls.noteUnreached(target);
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

function isGood(result: CallResult): boolean {
  return result.kind === 'answered' && result.answer.status < SERVER_ERROR_STATUS;
}

const CALL_OUTCOMES: Readonly<Record<CallResult['kind'], CallOutcome | undefined>> = {
  answered: 'failed',
  'not-executed': 'refused',
  'not-sent': undefined,
  broken: 'failed',
  timeout: 'failed',
  cancelled: undefined,
};

function outcomeOf(result: CallResult): CallOutcome | undefined {
  if (isGood(result)) return 'good';
  if (result.kind === 'not-sent' && result.isRefused) return 'unreachable';
  return CALL_OUTCOMES[result.kind];
}

/** Names a request by what its caller sends again: method, path and body. */
function fingerprintOf(call: CallerCall): string {
  return createHash('sha1')
    .update(`${call.method} ${call.host}${call.path}\n`)
    .update(call.body)
    .digest('base64url');
}
