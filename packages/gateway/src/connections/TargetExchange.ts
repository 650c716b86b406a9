/**
 * One request and its answer on one connection to a target. The deadline and the cancellation by the
 * caller hold until the last byte of the answer: a target may send an answer without end, or bytes
 * that are no answer.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import { PassThrough } from 'node:stream';
import type { Clock, Counters } from '@cactusrun/core';
import { discardBody } from '@cactusrun/requests';
import type MemoryBudget from '../memory/MemoryBudget.js';
import type { RequestRate } from '../state/TargetStatement.js';
import AnswerBuffer from './AnswerBuffer.js';
import AnswerCutError from './AnswerCutError.js';
import type ConnectionLease from './ConnectionLease.js';
import { RECENT_USE_MILLISECONDS } from './IdleReuse.js';
import {
  belongsToAnotherRequest,
  endsWithConnection,
  readIdleTime,
  readRefusal,
  readTargetAnswer,
} from './readTargetAnswer.js';
import type { AttemptResult, OutgoingRequest, TargetFieldNames } from './TargetAttempt.js';
import TargetGoneError from './TargetGoneError.js';
import watchForOrderlyEnd from './watchForOrderlyEnd.js';

/**
 * A break within this time is a drop: a write on a dropped connection is reset after a round trip. A
 * later break means that the target had begun the request.
 */
const DROP_DETECTION_MILLISECONDS = 100;
/** Informational (1xx) answers before the final one. */
const MAXIMUM_INFORMATIONAL_ANSWERS = 8;

export interface ExchangeParts {
  readonly names: TargetFieldNames;
  readonly clock: Clock;
  readonly counters: Counters;
  /** Counts what is buffered of answers; absent, nothing bounds them together. */
  readonly memory: MemoryBudget | undefined;
}

/** The connection that carries the request. */
export interface LeasedConnection {
  readonly lease: ConnectionLease;
  readonly isReused: boolean;
  /** Time since its last answer ended; 0 for a new connection. */
  readonly idleMilliseconds: number;
}

export default class TargetExchange {
  private readonly client: ClientRequest;

  private readonly startedAt: number;

  private resolve: ((result: AttemptResult) => void) | undefined;

  private isSettled = false;

  private hasResponse = false;

  private informationalAnswers = 0;

  /** The answer, or its first part, while it arrives. */
  private buffer: AnswerBuffer | undefined;

  /** The rest of an answer that is too large to buffer, while it is passed on. */
  private bodyRest: PassThrough | undefined;

  private stopWatching: (() => void) | undefined;

  constructor(
    private readonly parts: ExchangeParts,
    private readonly targetId: string,
    private readonly request: OutgoingRequest,
    private readonly connection: LeasedConnection,
  ) {
    this.startedAt = parts.clock.now();
    this.client = this.writeRequest();
  }

  /** Waits for the answer, or its first part if it is large. The promise never rejects. */
  public run(signal: AbortSignal): Promise<AttemptResult> {
    const { clock } = this.parts;
    return new Promise((resolve) => {
      this.resolve = resolve;
      const cancelTimer = clock.after(this.request.deadline - clock.now(), () => this.expire());
      const onAbort = () => this.cancel(signal.reason);
      signal.addEventListener('abort', onAbort, { once: true });
      this.stopWatching = () => {
        cancelTimer();
        signal.removeEventListener('abort', onAbort);
      };
      this.client.on('error', (error) => this.fail(error.message));
      this.client.on('close', () => this.fail('connection closed'));
      this.client.on('information', () => this.countInformational());
      this.client.on('response', (response) => this.readAnswer(response));
    });
  }

  private writeRequest(): ClientRequest {
    const { names, clock } = this.parts;
    const { request } = this;
    const remaining = Math.max(1, Math.floor(request.deadline - clock.now()));
    const hasBody = request.body.length > 0 || !['GET', 'HEAD'].includes(request.method);
    const fields = [
      ...request.fields,
      [names.attemptId, request.id] as const,
      [names.deadline, String(remaining)] as const,
      [names.expectedTarget, this.targetId] as const,
      ['connection', 'keep-alive'] as const,
      ...(hasBody ? [['content-length', String(request.body.length)] as const] : []),
    ];
    const client = httpRequest({
      method: request.method,
      path: request.path,
      headers: fields.map(([name, value]) => [name, value]) as never,
      setHost: false,
      createConnection: () => this.connection.lease.socket,
    });
    // Without an agent, Node assumes that the connection closes after its first answer.
    client.shouldKeepAlive = true;
    client.end(hasBody ? request.body : undefined);
    return client;
  }

  private readAnswer(response: IncomingMessage): void {
    const { names, counters } = this.parts;
    const { lease, isReused } = this.connection;
    this.hasResponse = true;
    // Bytes of one packet are still parsed after the exchange has failed on what came before them.
    if (this.isSettled) return;
    if (belongsToAnotherRequest(response, names, this.request.id, isReused)) {
      counters.add('target_answers', 'of-another-request');
      this.fail('answer belongs to another request');
      return;
    }
    lease.releaseWhenFree(readIdleTime(response));
    const refusal = readRefusal(response, names);
    if (refusal === undefined) {
      this.readBody(response);
      return;
    }
    if (refusal.reason !== 'other-target') this.checkRateLimit(refusal.stated.rateLimit);
    // The head alone proves that the request was not run; the body may be long or have no end.
    this.settle(refusal);
    discardBody(response, this.parts.clock, () => this.connection.lease.close());
  }

  private readBody(response: IncomingMessage): void {
    const isWhole = this.watchEnd(response);
    const buffer = new AnswerBuffer(response, this.parts.clock, this.parts.memory);
    this.buffer = buffer;
    const finish = () => {
      const answer = readTargetAnswer(response, this.parts.names, buffer.join(), this.bodyRest);
      this.checkRateLimit(answer.stated.rateLimit);
      this.settle({ kind: 'answered', answer });
    };
    const onData = (chunk: Buffer) => {
      if (buffer.add(chunk)) return;
      response.removeListener('data', onData);
      this.passOn(response);
      finish();
    };
    response.on('data', onData);
    response.on('error', (error) => this.fail(error.message));
    response.on('end', () => {
      if (!isWhole()) this.fail('incomplete answer');
      else if (this.bodyRest === undefined) finish();
    });
  }

  /** Returns a function that tells, at the end of an answer, whether all of it has arrived. */
  private watchEnd(response: IncomingMessage): () => boolean {
    const hasBody = this.request.method !== 'HEAD';
    if (!hasBody || !endsWithConnection(response)) return () => response.complete;
    const hasEndedOrderly = watchForOrderlyEnd(this.connection.lease.socket);
    return () => response.complete && hasEndedOrderly();
  }

  private checkRateLimit(rateLimit: RequestRate | undefined): void {
    if (rateLimit === undefined) this.parts.counters.add('target_answers', 'unreadable-rate-limit');
  }

  /** Passes the rest of a large answer on while it arrives. */
  private passOn(response: IncomingMessage): void {
    const bodyRest = new PassThrough();
    this.bodyRest = bodyRest;
    response.pipe(bodyRest);
    bodyRest.on('error', () => this.connection.lease.close());
    bodyRest.on('close', () => {
      this.stopWatching?.();
      if (!bodyRest.writableFinished) this.connection.lease.close();
    });
  }

  private countInformational(): void {
    this.informationalAnswers += 1;
    if (this.informationalAnswers > MAXIMUM_INFORMATIONAL_ANSWERS) {
      this.fail('too many informational answers');
    }
  }

  /** Ends the exchange at the deadline; a slow caller, rather than the target, may have caused it. */
  private expire(): void {
    const isCallerSlow = this.bodyRest?.writableNeedDrain === true;
    this.abandon({ kind: 'timeout' }, 'deadline passed', !isCallerSlow);
  }

  private cancel(reason: unknown): void {
    if (reason instanceof TargetGoneError) this.fail(reason.message);
    else this.abandon({ kind: 'cancelled' }, 'caller disconnected', false);
  }

  private fail(detail: string): void {
    const { clock } = this.parts;
    const isDrop =
      !this.hasResponse &&
      this.informationalAnswers === 0 &&
      this.connection.idleMilliseconds > RECENT_USE_MILLISECONDS &&
      clock.now() - this.startedAt < DROP_DETECTION_MILLISECONDS;
    this.abandon({ kind: isDrop ? 'dropped' : 'broken', detail }, detail, true);
  }

  /** Ends the exchange before its answer is complete, and cuts what was passed on. */
  private abandon(result: AttemptResult, detail: string, isTargetFailure: boolean): void {
    if (this.bodyRest !== undefined) {
      const isWhole = this.bodyRest.writableEnded;
      if (isWhole && result.kind !== 'cancelled') return;
      this.bodyRest.destroy(new AnswerCutError(detail, this.targetId, isTargetFailure));
      return;
    }
    if (this.isSettled) return;
    this.settle(result);
    this.connection.lease.close();
  }

  private settle(result: AttemptResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.buffer?.release();
    if (this.bodyRest === undefined) this.stopWatching?.();
    this.resolve?.(result);
  }
}
