/** Writes outcomes to callers: answers of targets as they are, and the gateway's own refusals. */
import type { ServerResponse } from 'node:http';
import type { Clock, Random } from '@cactusrun/core';
import type { TargetAnswer } from '../connections/TargetAttempt.js';
import { isRelayField } from '../relay/RelayField.js';
import type { Refused } from './CallerExchange.js';
import endAfterBody from './endAfterBody.js';
import type { RefusalReason } from './Refusal.js';
import { REFUSAL_RULES } from './Refusal.js';

/** Relative jitter of the retry-after time around its mean. */
const RETRY_AFTER_JITTER = 0.5;
/** Unless the reason says otherwise, callers return spread over this time after a known moment. */
const RETURN_SPREAD_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1_000;
const CLOSE_FIELDS: readonly string[] = ['connection', 'close'];
const NO_CONTENT_STATUS = 204;
const NOT_MODIFIED_STATUS = 304;

export default class AnswerWriter {
  constructor(
    private readonly random: Random,
    private readonly clock: Clock,
  ) {}

  /**
   * Whether only the end of the connection ends the body: its length is unknown, and the caller takes
   * no chunks, as it speaks HTTP/1.0.
   */
  public static endsWithConnection(response: ServerResponse, answer: TargetAnswer): boolean {
    const { bodyBytes, bodyRest } = answer;
    return bodyRest !== undefined && bodyBytes === undefined && !takesChunks(response);
  }

  /**
   * Writes the answer of a target. A body of unknown length goes out in chunks, so that its early end
   * shows whatever ends the connection, and to HTTP/1.0 as it is.
   *
   * @param closes - whether the connection ends with this answer
   * @param onCut - called when the rest of the body breaks off
   */
  public static writeAnswer(
    response: ServerResponse,
    answer: TargetAnswer,
    closes: boolean,
    onCut: (error: Error) => void,
  ): void {
    const { bodyStart, bodyRest } = answer;
    const length = lengthFor(response.req.method, answer);
    response.writeHead(answer.status, [
      ...answer.fields.filter(([name]) => !isRelayField(name)).flat(),
      ...(length === undefined ? [] : ['content-length', String(length)]),
      ...(closes ? CLOSE_FIELDS : []),
    ]);
    if (bodyRest === undefined) {
      response.end(bodyStart);
      return;
    }
    response.write(bodyStart);
    bodyRest.on('error', onCut);
    bodyRest.pipe(response);
  }

  /**
   * Writes a refusal.
   *
   * @param closes - whether the connection ends with this answer
   * @param extraFields - names and values of further header fields, in turn
   */
  public writeRefusal(
    response: ServerResponse,
    { reason, freeInMilliseconds }: Refused,
    closes: boolean,
    extraFields: readonly string[],
  ): void {
    const rule = REFUSAL_RULES[reason];
    const seconds =
      this.retryAfterMilliseconds(reason, freeInMilliseconds) / MILLISECONDS_PER_SECOND;
    const body = `${JSON.stringify({ reason, meaning: rule.meaning, notRun: rule.isNotRun })}\n`;
    response.writeHead(rule.status, [
      'content-type',
      'application/json',
      'content-length',
      String(Buffer.byteLength(body)),
      ...(seconds > 0 ? ['retry-after', seconds.toFixed(2)] : []),
      ...extraFields,
      ...(closes ? CLOSE_FIELDS : []),
    ]);
    if (response.req.complete) {
      response.end(body);
      return;
    }
    response.write(body);
    endAfterBody(response, this.clock);
  }

  private retryAfterMilliseconds(
    reason: RefusalReason,
    freeInMilliseconds: number | undefined,
  ): number {
    const unit = this.random.unit();
    if (freeInMilliseconds !== undefined) {
      const spread = REFUSAL_RULES[reason].returnSpreadMilliseconds ?? RETURN_SPREAD_MILLISECONDS;
      return freeInMilliseconds + spread * unit;
    }
    const jitter = 1 + RETRY_AFTER_JITTER * (2 * unit - 1);
    return REFUSAL_RULES[reason].retryAfterMilliseconds * jitter;
  }
}

/** Node sets this for callers that speak HTTP/1.1. */
function takesChunks({ useChunkedEncodingByDefault }: ServerResponse): boolean {
  return useChunkedEncodingByDefault;
}

/** The length that the answer states to its caller; undefined for none. */
function lengthFor(method: string | undefined, answer: TargetAnswer): number | undefined {
  const { status, bodyBytes, bodyStart, bodyRest } = answer;
  if (status === NO_CONTENT_STATUS) return undefined;
  const isBodiless = method === 'HEAD' || status === NOT_MODIFIED_STATUS;
  const isKnown = bodyRest === undefined && !isBodiless;
  return bodyBytes ?? (isKnown ? bodyStart.length : undefined);
}
