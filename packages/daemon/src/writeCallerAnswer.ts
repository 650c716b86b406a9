/** Writes answers and refusals to callers. */
import type { ServerResponse } from 'node:http';
import type { Counters, OutcomeReason } from '@cactusrun/core';
import { OUTCOME_RULES } from '@cactusrun/core';
import type { CallerAnswer } from './CallerRequest.js';
import { CALLER_HEADERS } from './CallerRequest.js';
import { forwardedHeaders, joinHeaders } from './headers.js';

type Answered = Extract<CallerAnswer, { kind: 'answered' }>;

/** Writes an answer; one that breaks off is cut, so that it does not look whole. */
export function writeAnswer(response: ServerResponse, answer: Answered, counters: Counters): void {
  const { body } = answer;
  response.setHeader(CALLER_HEADERS.outcome, 'answered');
  response.writeHead(answer.status, joinHeaders(forwardedHeaders(answer.headers)));
  body.on('error', () => {
    counters.add('outcomes', 'answer-broke-off');
    cut(response);
  });
  response.on('close', () => {
    if (!response.writableFinished) body.destroy();
  });
  response.on('finish', () => counters.add('outcomes', 'answered'));
  body.pipe(response);
}

export function writeRefusal(
  response: ServerResponse,
  reason: OutcomeReason,
  detail: string,
  counters: Counters,
): void {
  const rule = OUTCOME_RULES[reason];
  counters.add('outcomes', reason);
  const body = `${JSON.stringify({
    outcome: rule.kind,
    reason,
    retry: rule.advice,
    meaning: rule.meaning,
    ...(detail === '' ? {} : { detail }),
  })}\n`;
  if (rule.retryAfterSeconds > 0) response.setHeader('retry-after', rule.retryAfterSeconds);
  response.setHeader(CALLER_HEADERS.outcome, rule.kind);
  response.setHeader(CALLER_HEADERS.reason, reason);
  response.setHeader(CALLER_HEADERS.advice, rule.advice);
  response.writeHead(rule.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/**
 * Ends the connection in place of the rest of an answer. It is reset: to HTTP/1.0 an answer without a
 * length looks whole when its connection ends in the ordinary way.
 */
export function cut(response: ServerResponse): void {
  response.socket?.resetAndDestroy();
  response.destroy();
}
