/** Server side of a request between daemons: reads request frames and sends answer frames. */
import { PassThrough } from 'node:stream';
import type { AnswerFrame, AnswerStream, RequestFrame, RequestHead } from '@cactusrun/protocol';
import { AnswerFrameSchema, create } from '@cactusrun/protocol';
import type { HeaderField, RequestBody, ShardLoad } from '@cactusrun/requests';
import type { OutcomeReason } from '@cactusrun/core';
import type { Readable } from 'node:stream';
import { answerHeadFrame, refusalFrame } from './frames.js';
import { headerOf } from './headers.js';

const SHORT_ANSWER_BYTES = 32 * 1024;

/** A request from another daemon. */
export interface ReceivedRequest {
  readonly head: RequestHead;
  readonly body: RequestBody;
  readonly signal: AbortSignal;
  /** Notifies the client side that the request was admitted. */
  readonly proceed: () => void;
}

/** The answer to the client side. */
export type FrameAnswer =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: readonly HeaderField[];
      readonly body: Readable;
      readonly target?: string;
      readonly load?: ShardLoad;
    }
  | {
      readonly kind: 'refused';
      readonly reason: OutcomeReason;
      readonly detail: string;
      readonly load?: ShardLoad;
    };

function writeAnswer(stream: AnswerStream, answer: FrameAnswer): void {
  if (answer.kind === 'refused') {
    stream.write(refusalFrame(answer.reason, answer.detail, answer.load));
    stream.end();
    return;
  }
  if (isShort(answer.headers)) writeShortAnswer(stream, answer);
  else writeLongAnswer(stream, answer);
}

type Answered = Extract<FrameAnswer, { kind: 'answered' }>;

/** Whether the answer's content length allows sending it in one frame. */
function isShort(headers: readonly HeaderField[]): boolean {
  const length = Number(headerOf(headers, 'content-length'));
  return Number.isFinite(length) && length <= SHORT_ANSWER_BYTES;
}

/** Sends the whole answer in one frame: each further frame costs as much as a small request. */
function writeShortAnswer(stream: AnswerStream, answer: Answered): void {
  const { body } = answer;
  const chunks: Buffer[] = [];
  body.on('data', (chunk: Buffer) => chunks.push(chunk));
  body.on('end', () => {
    const frame = answerHeadFrame(answer);
    frame.chunk = Buffer.concat(chunks);
    frame.isLast = true;
    stream.write(frame);
    stream.end();
  });
  body.on('error', (error) => stream.destroy(error));
  stream.on('cancelled', () => body.destroy());
}

function writeLongAnswer(stream: AnswerStream, answer: Answered): void {
  const { body } = answer;
  let pending: AnswerFrame | undefined = answerHeadFrame(answer);
  const flush = (chunk: Buffer, isLast: boolean) => {
    const frame = pending ?? create(AnswerFrameSchema, {});
    pending = undefined;
    frame.chunk = chunk;
    frame.isLast = isLast;
    return stream.write(frame);
  };
  body.on('data', (chunk: Buffer) => {
    if (flush(chunk, false)) return;
    body.pause();
    stream.once('drain', () => body.resume());
  });
  body.on('end', () => {
    flush(Buffer.alloc(0), true);
    stream.end();
  });
  body.on('error', (error) => stream.destroy(error));
  stream.on('cancelled', () => body.destroy());
}

function receive(
  stream: AnswerStream,
  first: RequestFrame,
  head: RequestHead,
  signal: AbortSignal,
): ReceivedRequest {
  const body = Buffer.from(first.chunk);
  let hasProceeded = false;
  const proceed = () => {
    if (!hasProceeded) stream.write(create(AnswerFrameSchema, { proceed: true }));
    hasProceeded = true;
  };
  if (first.isLast) return { head, body: { head: body, isWhole: true }, signal, proceed };
  const rest = new PassThrough();
  rest.on('drain', () => stream.resume());
  // The body of a refused request stays unread; its truncation must not cause an uncaught error.
  rest.on('error', () => {});
  const acknowledgePiece = () => {
    if (!stream.destroyed && stream.writable) {
      stream.write(create(AnswerFrameSchema, { proceed: true }));
    }
  };
  let isWhole = false;
  stream.on('data', (frame: RequestFrame) => {
    isWhole ||= frame.isLast;
    if (frame.chunk.length > 0) {
      // Acknowledges each piece that was passed on, for the sender's congestion control.
      const hasRoom = rest.write(frame.chunk, () => acknowledgePiece());
      if (!hasRoom) stream.pause();
    }
    if (frame.isLast) rest.end();
  });
  const onStreamEnd = () => {
    if (!isWhole) rest.destroy(new Error('request stream ended before its last frame'));
  };
  stream.on('end', onStreamEnd);
  stream.on('cancelled', onStreamEnd);
  return { head, body: { head: body, isWhole: false, rest }, signal, proceed };
}

/** Reads a request from the stream, handles it and writes the answer. */
export function serveFrames(
  stream: AnswerStream,
  handle: (request: ReceivedRequest) => Promise<FrameAnswer>,
): void {
  const controller = new AbortController();
  stream.on('cancelled', () => controller.abort());
  stream.on('error', () => controller.abort());
  stream.once('data', (first: RequestFrame) => {
    if (first.head === undefined) {
      stream.end();
      return;
    }
    const request = receive(stream, first, first.head, controller.signal);
    handle(request).then(
      (answer) => {
        if (controller.signal.aborted) discard(answer);
        else writeAnswer(stream, answer);
      },
      (error: Error) => stream.destroy(error),
    );
  });
}

function discard(answer: FrameAnswer): void {
  if (answer.kind === 'answered') answer.body.destroy();
}
