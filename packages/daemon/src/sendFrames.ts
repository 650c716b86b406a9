/** Client side of a request between daemons: sends request frames and reads answer frames. */
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
  /** Called when the peer has admitted the request; the rest of a long body is sent after that. */
  readonly onProceed: () => void;
  /** Reason of the refusal when the stream fails before an answer. */
  readonly lostReason: 'keeper-lost' | 'owner-unreachable';
}

/** Answer body from frames; it pauses the stream while the reader is slower (backpressure). */
class AnswerBody extends Readable {
  private isWhole = false;

  constructor(private readonly stream: RequestStream) {
    super();
    // The body may fail before a reader listens for errors.
    this.on('error', () => {});
  }

  public receive(frame: AnswerFrame): void {
    if (frame.chunk.length > 0 && !this.push(frame.chunk)) this.stream.pause();
    if (!frame.isLast) return;
    this.isWhole = true;
    this.push(null);
  }

  /** Handles the end of the stream; without a last frame the answer is truncated. */
  public end(error: Error | undefined): void {
    if (!this.isWhole)
      this.destroy(error ?? new Error('answer stream ended before its last frame'));
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

/** Splits a chunk into pieces of at most BULK_PIECE_BYTES. */
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
      await pacer.acquire();
      await writeFrame(stream, chunkFrame(piece, false));
    }),
  );
  await writeFrame(stream, chunkFrame(Buffer.alloc(0), true));
  stream.end();
}

/** Sends a request; resolves with the answer or a refusal, also when the stream fails. */
export function exchangeFrames(exchange: FrameExchange): Promise<AttemptResult> {
  const { stream, signal } = exchange;
  return new Promise((resolve) => {
    let body: AnswerBody | undefined;
    let hasProceeded = false;
    const pacer = new BulkPacer(() => exchange.clock.now());
    const onAbort = () => stream.cancel();
    signal.addEventListener('abort', onAbort, { once: true });
    stream.on('data', (frame: AnswerFrame) => {
      if (frame.proceed && hasProceeded) pacer.acknowledge();
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

/** Remaining time until a monotonic deadline, at least 0. */
export function remainingUntil(clock: Clock, deadline: number): number {
  return Math.max(0, deadline - clock.now());
}
