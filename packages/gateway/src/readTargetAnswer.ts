/** What the head of a target's answer says. */
import type { IncomingMessage } from 'node:http';
import type { PassThrough } from 'node:stream';
import { endToEndHeaders, listHeaders } from '@cactusrun/requests';
import type { CallResult, TargetAnswer, TargetFieldNames } from './TargetCall.js';

/** An idle connection is left this long before the target says that it will close it. */
const IDLE_MARGIN_MILLISECONDS = 2_000;
/** Idle time assumed of targets that do not state one. */
const IDLE_MILLISECONDS = 4_000;
const SECOND_MILLISECONDS = 1_000;
const MISDIRECTED_STATUS = 421;
const UNAVAILABLE_STATUS = 503;
const BODILESS_STATUSES: readonly number[] = [204, 304];

/** The answer with which a target says that it did not run the request, if it is one. */
export function readRefusal(
  response: IncomingMessage,
  names: TargetFieldNames,
): Extract<CallResult, { kind: 'not-run' }> | undefined {
  if (response.statusCode === MISDIRECTED_STATUS) {
    return { kind: 'not-run', reason: 'other-target' };
  }
  if (fieldOf(response, names.notRun) === undefined) return undefined;
  return {
    kind: 'not-run',
    reason: response.statusCode === UNAVAILABLE_STATUS ? 'full' : 'refused',
  };
}

/**
 * Whether the answer is that of another request. A failure without an identity is taken for the
 * answer of the one that waits.
 */
export function isOfAnotherRequest(
  response: IncomingMessage,
  names: TargetFieldNames,
  id: string,
): boolean {
  const answered = fieldOf(response, names.attemptId);
  return answered === undefined ? isSuccess(response.statusCode ?? 0) : answered !== id;
}

/** @param rest - what follows the first part of the body, if it does */
export function readTargetAnswer(
  response: IncomingMessage,
  names: TargetFieldNames,
  head: Buffer,
  rest: PassThrough | undefined,
): TargetAnswer {
  const status = response.statusCode ?? 0;
  return {
    status,
    fields: endToEndHeaders(listHeaders(response.rawHeaders), isFraming),
    head,
    rest,
    requestsThere: readLoad(fieldOf(response, names.load)),
    isFramed:
      response.headers['content-length'] !== undefined ||
      response.headers['transfer-encoding'] !== undefined ||
      BODILESS_STATUSES.includes(status),
    isSigned: fieldOf(response, names.signature) !== undefined,
  };
}

/** How long a connection may stay idle after the answer, in milliseconds. */
export function readIdleTime(response: IncomingMessage): number {
  const stated = /timeout=(\d+)/.exec(String(response.headers['keep-alive'] ?? ''))?.[1];
  if (stated === undefined) return IDLE_MILLISECONDS;
  const milliseconds = Number(stated) * SECOND_MILLISECONDS;
  return Math.max(milliseconds / 2, milliseconds - IDLE_MARGIN_MILLISECONDS);
}

/** Requests that the target runs and holds, from `running,waiting,slots`. */
function readLoad(text: string | string[] | undefined): number | undefined {
  const [running, waiting] = typeof text === 'string' ? text.split(',').map(Number) : [];
  const isKnown = running !== undefined && waiting !== undefined;
  return isKnown && Number.isFinite(running + waiting) ? running + waiting : undefined;
}

function fieldOf(response: IncomingMessage, name: string): string | string[] | undefined {
  return response.headers[name.toLowerCase()];
}

/** The length is set anew towards the caller. */
function isFraming(name: string): boolean {
  return name === 'content-length';
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
