/** One sending of a request to a picked target: the exchange, its evidence and its stall. */
import type { Clock } from '@cactusrun/core';
import type CallBook from './CallBook.js';
import type { CallOutcome } from './PeerMessage.js';
import type ServiceTimes from './ServiceTimes.js';
import type { CallResult, OutgoingRequest } from './TargetCall.js';
import type TargetConnections from './TargetConnections.js';
import type { Pick } from './TargetPicker.js';

/** A request stalls when it takes this many times longer than expected, and at least the floor. */
const STALL_FACTOR = 3.5;
const STALL_FLOOR_MILLISECONDS = 300;
export const SERVER_ERROR_STATUS = 500;

export interface TargetRunParts {
  readonly calls: CallBook;
  readonly connections: TargetConnections;
  readonly times: ServiceTimes;
  readonly clock: Clock;
}

/** A sending that is under way. */
export interface TargetRun {
  readonly pick: Pick;
  readonly result: Promise<CallResult>;
  /** Resolves when the request takes unusually long; never if it ends before. */
  readonly stalled: Promise<void>;
  readonly cancel: () => void;
}

/** Sends a request to a target and tells the fleet what comes of it. */
export function startTargetRun(
  parts: TargetRunParts,
  pick: Pick,
  service: string,
  request: OutgoingRequest,
  callerSignal: AbortSignal,
): TargetRun {
  const { calls, connections, times, clock } = parts;
  const { entry } = pick.target;
  const controller = new AbortController();
  const startedAt = clock.now();
  const stallAfter = Math.max(STALL_FLOOR_MILLISECONDS, pick.expectedMilliseconds * STALL_FACTOR);
  let cancelStall = () => {};
  const stalled = new Promise<void>((resolve) => {
    cancelStall = clock.after(stallAfter, () => {
      calls.noteStall(entry.id);
      resolve();
    });
  });
  calls.begin(pick.target, request.isRepeated);
  const exchange = async (): Promise<CallResult> => {
    const signal = AbortSignal.any([callerSignal, controller.signal]);
    const result = await connections.send(entry, request, signal);
    cancelStall();
    const there = result.kind === 'answered' ? result.answer.requestsThere : undefined;
    calls.end(entry.id, outcomeOf(result), clock.now() - startedAt, there);
    if (isGood(result)) {
      const rounds = (pick.requestsThere + 1) / entry.slots;
      times.note(service, entry.id, clock.now() - startedAt, rounds);
    }
    if (result.kind === 'timeout') connections.forget(entry.id);
    if (result.kind === 'not-sent' && !result.isRefused) calls.noteUnreached(entry.id);
    return result;
  };
  return {
    pick,
    result: exchange(),
    stalled,
    cancel: () => controller.abort(),
  };
}

/** Whether the result is an answer that is no failure of the target. */
export function isGood(result: CallResult): boolean {
  return result.kind === 'answered' && result.answer.status < SERVER_ERROR_STATUS;
}

const CALL_OUTCOMES: Readonly<Record<CallResult['kind'], CallOutcome | undefined>> = {
  answered: 'failed',
  'not-run': 'refused',
  'not-sent': undefined,
  broken: 'failed',
  dropped: 'dropped',
  timeout: 'failed',
  cancelled: undefined,
};

function outcomeOf(result: CallResult): CallOutcome | undefined {
  if (isGood(result)) return 'good';
  if (result.kind === 'not-sent' && result.isRefused) return 'unreachable';
  return CALL_OUTCOMES[result.kind];
}
