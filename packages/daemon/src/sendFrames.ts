/** The calling side of a request between daemons: frames out, frames in, the truth as the result. */
import { Readable } from 'node:stream';
import type { Clock } from '@cactusrun/core';
import { describeError, inSequence } from '@cactusrun/core';
import type { AnswerFrame, RequestFrame, RequestStream } from '@cactusrun/protocol';
import type { AttemptResult, RequestBody } from '@cactusrun/requests';
import { refusal } from '@cactusrun/requests';
import BulkPacer from './BulkPacer.js';
import { BULK_PIECE_BYTES, chunkFrame, fromFields, loadOf, reasonOf } from './frames.js';

export interface FrameExchange {
  readonly stream: RequestStream;
  readonly first: RequestFrame;
  readonly body: RequestBody;
  readonly signal: AbortSignal;
  readonly clock: Clock;
  /** Called when the far side holds a slot; the rest of a long body is sent from then on. */
  readonly onProceed: () => void;
  /** What is told when the stream breaks before an answer. */
  readonly lostReason: 'keeper-lost' | 'owner-unreachable';
}

/** Takes frames in as a body that the reader's speed holds back. */
class AnswerBody extends Readable {
  private isWhole = false;

  constructor(private readonly stream: RequestStream) {
    super();
    // It may be cut before anybody reads it.
    this.on('error', () => {});
  }

  public receive(frame: AnswerFrame): void {
    if (frame.chunk.length > 0 && !this.push(frame.chunk)) this.stream.pause();
    if (!frame.isLast) return;
    this.isWhole = true;
    this.push(null);
  }

  /** The stream ended; without a last frame the answer is cut. */
  public end(error: Error | undefined): void {
    if (!this.isWhole) this.destroy(error ?? new Error('answer cut between daemons'));
  }

  public override _read(): void {
    this.stream.resume();
  }

  public override _destroy(error: Error | null, callback: (error: Error | null) => void): void {
    if (!this.isWhole) this.stream.cancel();
    callback(error);
  }
}

function writeFrame(stream: RequestStream, frame: RequestFrame): Promise<void> {
  return new Promise((resolve) => {
    if (stream.write(frame)) resolve();
    else stream.once('drain', resolve);
  });
}

/** Cuts a chunk into pieces of bounded size. */
function piecesOf(chunk: Buffer): readonly Buffer[] {
  return Array.from({ length: Math.ceil(chunk.length / BULK_PIECE_BYTES) }, (_, index) =>
    chunk.subarray(index * BULK_PIECE_BYTES, (index + 1) * BULK_PIECE_BYTES),
  );
}

async function sendRest(exchange: FrameExchange, pacer: BulkPacer): Promise<void> {
  const { stream, body } = exchange;
  const { rest } = body;
  if (rest === undefined) return;
  rest.on('error', () => stream.cancel());
  stream.on('error', () => rest.destroy());
  await rest.forEach((chunk: Buffer) =>
    inSequence(piecesOf(chunk), async (piece) => {
      await pacer.next();
      await writeFrame(stream, chunkFrame(piece, false));
    }),
  );
  await writeFrame(stream, chunkFrame(Buffer.alloc(0), true));
  stream.end();
}

/** Sends a request and resolves with the head of its answer, a refusal, or what is known. */
export function exchangeFrames(exchange: FrameExchange): Promise<AttemptResult> {
  const { stream, signal } = exchange;
  return new Promise((resolve) => {
    let body: AnswerBody | undefined;
    let hasProceeded = false;
    const pacer = new BulkPacer(() => exchange.clock.now());
    const onAbort = () => stream.cancel();
    signal.addEventListener('abort', onAbort, { once: true });
    stream.on('data', (frame: AnswerFrame) => {
      if (frame.proceed && hasProceeded) pacer.confirm();
      else if (frame.proceed) {
        hasProceeded = true;
        exchange.onProceed();
        sendRest(exchange, pacer).catch(() => stream.cancel());
      }
      if (frame.refusal !== undefined) {
        const { reason, detail, load } = frame.refusal;
        resolve(refusal(reasonOf(reason), detail, loadOf(load)));
      } else if (frame.head !== undefined) {
        body = new AnswerBody(stream);
        const load = loadOf(frame.head.load);
        resolve({
          kind: 'answered',
          status: frame.head.status,
          headers: fromFields(frame.head.headers),
          target: frame.head.target,
          body,
          ...(load === undefined ? {} : { load }),
        });
      }
      body?.receive(frame);
    });
    const finish = (failure?: Error) => {
      signal.removeEventListener('abort', onAbort);
      pacer.end();
      body?.end(failure);
      resolve(refusal(exchange.lostReason, describeError(failure ?? 'stream ended')));
    };
    stream.on('error', finish);
    stream.on('end', () => finish());
    stream.write(exchange.first);
    if (exchange.body.isWhole) stream.end();
  });
}

/** The time left until a monotonic deadline, never negative. */
export function remainingUntil(clock: Clock, deadline: number): number {
  return Math.max(0, deadline - clock.now());
}
