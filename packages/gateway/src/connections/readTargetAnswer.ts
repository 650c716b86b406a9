/** Reads the head of a target's answer. */
import type { IncomingMessage } from 'node:http';
import type { PassThrough } from 'node:stream';
import { endToEndHeaders, listHeaders } from '@cactusrun/requests';
import type { RequestRate, TargetStatement } from '../state/TargetStatement.js';
import { NOTHING_STATED } from '../state/TargetStatement.js';
import type { AttemptResult, TargetAnswer, TargetFieldNames } from './TargetAttempt.js';

/** Connections are abandoned this long before the idle timeout that the target states. */
const IDLE_TIMEOUT_MARGIN_MILLISECONDS = 2_000;
/** Idle time assumed for targets that do not state a timeout. */
const DEFAULT_IDLE_MILLISECONDS = 4_000;
const MILLISECONDS_PER_SECOND = 1_000;
const MISDIRECTED_STATUS = 421;
const UNAVAILABLE_STATUS = 503;
const DECIMAL_NUMBER = /^\d+(\.\d*)?$|^\.\d+$/;
const LEAVING_VALUE = '1';
const CHUNKED_CODING = /(^|,)\s*chunked\s*$/i;
const BODILESS_STATUSES: readonly number[] = [204, 304];

/** Returns the refusal if the target states that it did not run the request. */
export function readRefusal(
  response: IncomingMessage,
  names: TargetFieldNames,
): Extract<AttemptResult, { kind: 'not-run' }> | undefined {
  const stated = readStatement(response, names);
  if (response.statusCode === MISDIRECTED_STATUS) {
    return { kind: 'not-run', reason: 'other-target', stated: NOTHING_STATED };
  }
  if (fieldOf(response, names.notRun) === undefined) return undefined;
  return {
    kind: 'not-run',
    reason: response.statusCode === UNAVAILABLE_STATUS ? 'full' : 'refused',
    stated,
  };
}

/**
 * Whether the answer may belong to another request. A late second copy of an earlier answer, also of
 * a refusal, arrives where the next one is expected. An answer without an identifier is attributed to
 * the waiting request only if it is no success and the first one on its connection.
 *
 * @param isReused - whether the connection has carried earlier requests
 */
export function belongsToAnotherRequest(
  response: IncomingMessage,
  names: TargetFieldNames,
  id: string,
  isReused: boolean,
): boolean {
  const answeredId = fieldOf(response, names.attemptId);
  if (answeredId !== undefined) return answeredId !== id;
  return isReused || isSuccess(response.statusCode ?? 0);
}

/** @param bodyRest - what follows the first part of the body, if anything does */
export function readTargetAnswer(
  response: IncomingMessage,
  names: TargetFieldNames,
  bodyStart: Buffer,
  bodyRest: PassThrough | undefined,
): TargetAnswer {
  const status = response.statusCode ?? 0;
  return {
    status,
    fields: endToEndHeaders(listHeaders(response.rawHeaders), isFraming),
    bodyStart,
    bodyRest,
    ...readBodyBytes(response),
    stated: readStatement(response, names),
    isFramed: !endsWithConnection(response),
    isSigned: fieldOf(response, names.signature) !== undefined,
  };
}

/** Whether the body is ended by the end of the connection, rather than by a length or its last chunk. */
export function endsWithConnection({ headers, statusCode = 0 }: IncomingMessage): boolean {
  if (headers['content-length'] !== undefined) return false;
  const isChunked = CHUNKED_CODING.test(headers['transfer-encoding'] ?? '');
  return !isChunked && !BODILESS_STATUSES.includes(statusCode);
}

/** The length of the body that the answer states; the parser has refused what is not a number. */
function readBodyBytes({ headers }: IncomingMessage): Pick<TargetAnswer, 'bodyBytes'> {
  const length = headers['content-length'];
  return length === undefined ? {} : { bodyBytes: Number(length) };
}

/** How long a connection may stay idle after the answer, in milliseconds. */
export function readIdleTime(response: IncomingMessage): number {
  const stated = /timeout=(\d+)/.exec(String(response.headers['keep-alive'] ?? ''))?.[1];
  if (stated === undefined) return DEFAULT_IDLE_MILLISECONDS;
  const milliseconds = Number(stated) * MILLISECONDS_PER_SECOND;
  return Math.max(milliseconds / 2, milliseconds - IDLE_TIMEOUT_MARGIN_MILLISECONDS);
}

/** What the answer states of its target. */
function readStatement(response: IncomingMessage, names: TargetFieldNames): TargetStatement {
  const isRefusal = response.statusCode === UNAVAILABLE_STATUS;
  return {
    requests: readLoad(fieldOf(response, names.load)),
    rateLimit: readRateLimit(fieldOf(response, names.rateLimit)),
    isLeaving: fieldOf(response, names.leaving) === LEAVING_VALUE,
    backoffMilliseconds: isRefusal ? readBackoff(response.headers['retry-after']) : undefined,
  };
}

/** Milliseconds from a number of seconds; a date, which targets do not send, counts as none. */
function readBackoff(text: string | undefined): number | undefined {
  const seconds = text === undefined ? undefined : readDecimal(text);
  return seconds === undefined ? undefined : seconds * MILLISECONDS_PER_SECOND;
}

/** Requests that run and wait at the target, from `running,waiting,slots`. */
function readLoad(text: string | string[] | undefined): number | undefined {
  const [running, waiting] = typeof text === 'string' ? text.split(',').map(Number) : [];
  const isKnown = [running, waiting].every((count) => Number.isSafeInteger(count) && count! >= 0);
  return isKnown ? running! + waiting! : undefined;
}

/** Requests per second, from a decimal number; undefined when the text is none. */
function readRateLimit(text: string | string[] | undefined): RequestRate | undefined {
  if (text === undefined) return 'unlimited';
  return typeof text === 'string' ? readDecimal(text) : undefined;
}

/** A decimal number; undefined when the text is none, or one that is too large. */
function readDecimal(text: string): number | undefined {
  const value = DECIMAL_NUMBER.test(text.trim()) ? Number(text) : Number.NaN;
  return Number.isFinite(value) ? value : undefined;
}

function fieldOf(response: IncomingMessage, name: string): string | string[] | undefined {
  return response.headers[name.toLowerCase()];
}

/** The content length is set again towards the caller. */
function isFraming(name: string): boolean {
  return name === 'content-length';
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
