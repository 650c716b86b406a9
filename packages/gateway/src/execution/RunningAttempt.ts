/** One attempt: sends a request to the picked target, reports the outcome and detects a stall. */
import { finished } from 'node:stream';
import type { Clock } from '@cactusrun/core';
import { SERVER_ERROR_STATUS } from './judgeAnswer.js';
import AnswerCutError from '../connections/AnswerCutError.js';
import type AttemptTracker from '../health/AttemptTracker.js';
import type { AttemptOutcome } from '../fleet/PeerMessage.js';
import type { RequestRate, TargetStatement } from '../state/TargetStatement.js';
import { NOTHING_STATED } from '../state/TargetStatement.js';
import type TargetReachability from '../reachability/TargetReachability.js';
import type ServiceTimes from '../placement/ServiceTimes.js';
import type { AttemptResult, OutgoingRequest } from '../connections/TargetAttempt.js';
import type TargetConnections from '../connections/TargetConnections.js';
import type { Pick } from '../placement/TargetPick.js';

/** An attempt stalls when it takes this many times longer than expected, and at least the minimum. */
const STALL_FACTOR = 3.5;
const MINIMUM_STALL_MILLISECONDS = 300;
/** After this multiple of the expected time, an answer of any target shows that they are reached. */
const SILENCE_FACTOR = 1.5;
const MINIMUM_SILENCE_MILLISECONDS = 300;

export interface AttemptParts {
  readonly attemptTracker: AttemptTracker;
  readonly reachability: TargetReachability;
  readonly connections: TargetConnections;
  readonly serviceTimes: ServiceTimes;
  readonly clock: Clock;
}

export interface RunningAttempt {
  readonly pick: Pick;
  readonly result: Promise<AttemptResult>;
  /**
   * Resolves when the attempt takes unusually long, or this daemon is cut off from all targets; never
   * if it ends before.
   */
  readonly stalled: Promise<void>;
  readonly cancel: () => void;
}

/** Sends a request to a target and reports the outcome to the fleet. */
export function startAttempt(
  parts: AttemptParts,
  pick: Pick,
  service: string,
  request: OutgoingRequest,
  callerSignal: AbortSignal,
): RunningAttempt {
  const { attemptTracker, connections, clock } = parts;
  const controller = new AbortController();
  const startedAt = clock.now();
  const watch = watchAttempt(parts, pick, startedAt);
  attemptTracker.begin(pick.target, request.isRetry);
  const send = async (): Promise<AttemptResult> => {
    const signal = AbortSignal.any([callerSignal, controller.signal]);
    try {
      return await connections.send(pick.target.entry, request, signal);
    } catch (error) {
      attemptTracker.end(pick.target.entry.id, undefined, clock.now() - startedAt, NOTHING_STATED);
      throw error;
    } finally {
      watch.end();
    }
  };
  const exchange = async (): Promise<AttemptResult> => {
    const result = await send();
    if (result.kind === 'answered' || result.kind === 'not-run') {
      recordAnswer(parts, pick, service, result, startedAt);
    } else {
      recordSilence(parts, pick, result, startedAt);
    }
    return result;
  };
  return {
    pick,
    result: exchange(),
    stalled: watch.stalled,
    cancel: () => controller.abort(),
  };
}

interface AttemptWatch {
  readonly stalled: Promise<void>;
  readonly end: () => void;
}

/** Watches for a stall of the attempt, and for silence of all targets meanwhile. */
function watchAttempt(parts: AttemptParts, pick: Pick, startedAt: number): AttemptWatch {
  const { attemptTracker, reachability, clock } = parts;
  const { id } = pick.target.entry;
  const expected = pick.expectedMilliseconds;
  const cancelSilence = clock.after(
    Math.max(MINIMUM_SILENCE_MILLISECONDS, expected * SILENCE_FACTOR),
    () => reachability.checkUnlessHeardSince(startedAt),
  );
  let end = () => {};
  const stalled = new Promise<void>((resolve) => {
    const cancelStall = clock.after(
      Math.max(MINIMUM_STALL_MILLISECONDS, expected * STALL_FACTOR),
      () => {
        reachability.confirmFailure('answer', () => attemptTracker.recordStall(id));
        resolve();
      },
    );
    const unsubscribe = reachability.subscribe((isCutOff) => isCutOff && resolve());
    end = () => {
      cancelSilence();
      cancelStall();
      unsubscribe();
    };
  });
  return { stalled, end };
}

type Heard = Extract<AttemptResult, { kind: 'answered' | 'not-run' }>;

/** Reports what an answer of the target, or its refusal, shows. */
function recordAnswer(
  { attemptTracker, reachability, serviceTimes, clock }: AttemptParts,
  { target: { entry }, requestsThere }: Pick,
  service: string,
  result: Heard,
  startedAt: number,
): void {
  reachability.recordContact('answer');
  attemptTracker.recordNotice(entry, statementOf(result));
  const stated = {
    requests: result.kind === 'answered' ? result.answer.stated.requests : undefined,
    rateLimit: rateLimitOf(result),
  };
  const end = (outcome: AttemptOutcome | undefined) =>
    attemptTracker.end(entry.id, outcome, clock.now() - startedAt, stated);
  const bodyRest = result.kind === 'answered' ? result.answer.bodyRest : undefined;
  if (bodyRest === undefined) end(outcomeOf(result));
  else finished(bodyRest, { readable: false }, (error) => end(outcomeOfBody(result, error)));
  if (!isSuccessful(result)) return;
  const queueRounds = (requestsThere + 1) / entry.slots;
  serviceTimes.record(service, entry.id, clock.now() - startedAt, queueRounds);
}

/** Reports the end of an attempt without an answer; as a failure once the links are known to work. */
function recordSilence(
  { attemptTracker, reachability, connections, clock }: AttemptParts,
  { target: { entry } }: Pick,
  result: Exclude<AttemptResult, Heard>,
  startedAt: number,
): void {
  attemptTracker.end(entry.id, undefined, clock.now() - startedAt, NOTHING_STATED);
  if (result.kind === 'timeout') connections.forget(entry.id);
  if (result.kind === 'cancelled') return;
  const isUnsent = result.kind === 'not-sent';
  if (isUnsent) attemptTracker.recordConnectFailure(entry.id, result.isRefused);
  const outcome = outcomeOf(result);
  reachability.confirmFailure(isUnsent ? 'connection' : 'answer', () => {
    if (outcome !== undefined) attemptTracker.recordLateOutcome(entry.id, outcome, startedAt);
  });
}

/** Whether the target answered without a server error. */
export function isSuccessful(result: AttemptResult): boolean {
  return result.kind === 'answered' && result.answer.status < SERVER_ERROR_STATUS;
}

function statementOf(result: Heard): TargetStatement {
  return result.kind === 'answered' ? result.answer.stated : result.stated;
}

/**
 * The rate limit that the target stated, if the result is evidence of one. Only a genuine answer
 * shows that there is none.
 */
function rateLimitOf(result: Heard): RequestRate | undefined {
  const { rateLimit: rate } = statementOf(result);
  const isGenuine = result.kind === 'answered' && result.answer.isSigned && isSuccessful(result);
  return rate === 'unlimited' && !isGenuine ? undefined : rate;
}

const OUTCOMES: Readonly<Record<AttemptResult['kind'], AttemptOutcome | undefined>> = {
  answered: 'failed',
  'not-run': 'refused',
  'not-sent': undefined,
  broken: 'failed',
  dropped: 'dropped',
  timeout: 'failed',
  cancelled: undefined,
};

/** The outcome of an attempt whose answer was passed on while it arrived. */
function outcomeOfBody(
  result: AttemptResult,
  error: Error | null | undefined,
): AttemptOutcome | undefined {
  if (!error) return outcomeOf(result);
  return error instanceof AnswerCutError && error.isTargetFailure ? 'failed' : undefined;
}

function outcomeOf(result: AttemptResult): AttemptOutcome | undefined {
  if (isSuccessful(result)) return 'good';
  if (result.kind === 'not-sent' && result.isRefused) return 'unreachable';
  return OUTCOMES[result.kind];
}
