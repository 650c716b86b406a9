/** Writes the outcomes of requests in the order of their connections. */
import type { ServerResponse } from 'node:http';
import type { Clock, Counters, Logger, Random } from '@cactusrun/core';
import { describeError } from '@cactusrun/core';
import type { TargetAnswer } from '../connections/TargetAttempt.js';
import { encodeRefusal } from '../relay/RelayField.js';
import AnswerWriter from './AnswerWriter.js';
import type CallerConnection from './CallerConnection.js';
import type { CallerOutcome, Refused } from './CallerExchange.js';
import type HeldAnswers from './HeldAnswers.js';
import type PendingRequest from './PendingRequest.js';

/** Why a connection ends before the answer to its request does. */
type CutReason = 'answer-broke-off' | 'read-too-slowly';

/** One request on its way: the connection that it came on, and the response to write. */
export interface Incoming {
  readonly connection: CallerConnection;
  readonly request: PendingRequest;
  readonly response: ServerResponse;
}

export interface OutcomeWriterOptions {
  /** Whether the callers are peers, who are told which refusals are this daemon's own. */
  readonly isForPeers: boolean;
  readonly names: { readonly attemptId: string };
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Bounds what is held for callers that read slowly; absent, nothing does. */
  readonly heldAnswers?: HeldAnswers;
}

export default class OutcomeWriter {
  private readonly writer: AnswerWriter;

  /** Whether each connection closes with the answer to the last request that was started. */
  private isClosing = false;

  constructor(private readonly options: OutcomeWriterOptions) {
    this.writer = new AnswerWriter(options.random, options.clock);
  }

  /** From now on each connection closes with the answer to the last request that was started. */
  public beginClosing(): void {
    this.isClosing = true;
  }

  public async write(incoming: Incoming, outcome: CallerOutcome): Promise<void> {
    if (outcome.kind === 'refused') this.writeRefusal(incoming, outcome);
    else if (outcome.kind === 'answered') await this.writeAnswer(incoming, outcome.answer);
    else this.options.counters.add('callers', 'gone');
  }

  /** Refuses a request that the daemon does not execute because it stops. */
  public async refuseStopping(incoming: Incoming): Promise<void> {
    await incoming.connection.awaitLead(incoming.request);
    const reason = incoming.request.mayHaveRun ? 'stopped' : 'stopping';
    this.writeRefusal(incoming, { reason });
  }

  public writeRefusal(incoming: Incoming, refused: Refused): void {
    if (incoming.request.signal.aborted) return;
    const { counters, isForPeers } = this.options;
    counters.add('refusals', refused.reason);
    const extraFields = isForPeers ? this.peerFields(incoming, refused) : [];
    this.writer.writeRefusal(incoming.response, refused, this.closesWith(incoming), extraFields);
  }

  /** A body of unknown length is only begun when nothing is ahead, so that a cut shows at once. */
  private async writeAnswer(incoming: Incoming, answer: TargetAnswer): Promise<void> {
    const { connection, request, response } = incoming;
    const { bodyRest } = answer;
    if (!request.signal.aborted) this.holdAnswer(incoming, answer);
    if (bodyRest !== undefined) {
      bodyRest.on('error', () => this.options.counters.add('callers', 'answer-cut'));
      await connection.awaitLead(request);
    }
    if (request.signal.aborted) {
      this.options.counters.add('callers', 'gone');
      bodyRest?.destroy();
      return;
    }
    if (bodyRest?.errored) {
      this.writeRefusal(incoming, { reason: 'connection-broke' });
      return;
    }
    const endsBody = AnswerWriter.endsWithConnection(response, answer);
    if (endsBody) connection.closeBehind(request);
    const closes = this.closesWith(incoming) || endsBody;
    AnswerWriter.writeAnswer(response, answer, closes, (error) => {
      this.recordCut(incoming, 'answer-broke-off', error);
      connection.cut(request);
    });
  }

  /** Counts an answer until its caller has taken it; the connection is cut if it takes too long. */
  private holdAnswer(incoming: Incoming, { bodyStart }: TargetAnswer): void {
    const { heldAnswers } = this.options;
    const { request, response } = incoming;
    if (heldAnswers === undefined) return;
    const cut = () => {
      this.recordCut(incoming, 'read-too-slowly');
      response.req.socket.resetAndDestroy();
    };
    const release = heldAnswers.hold({ bytes: bodyStart.length, cut });
    response.once('close', release);
    // A response behind others on its connection does not report that the connection has closed.
    if (response.socket === null) request.signal.addEventListener('abort', release, { once: true });
  }

  /** What tells a peer that this daemon refuses the request, rather than a target. */
  private peerFields({ request }: Incoming, refused: Refused): readonly string[] {
    return [...encodeRefusal(refused), this.options.names.attemptId, request.head.id];
  }

  /** Logs that a caller gets no complete answer although its connection has not ended. */
  private recordCut({ request }: Incoming, reason: CutReason, error?: unknown): void {
    const { counters, logger } = this.options;
    counters.add('callers', reason);
    if (request.signal.aborted) return;
    const cause = error === undefined ? undefined : describeError(error);
    logger.warn('request-cut', { request: request.head.id, reason, cause });
  }

  private closesWith({ connection, request, response }: Incoming): boolean {
    return connection.closesWith(request, this.isClosing || !response.req.complete);
  }
}
