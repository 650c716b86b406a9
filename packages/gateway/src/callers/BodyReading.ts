/** The body of a caller's request while it arrives. */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '@cactusrun/core';
import BodyCollector from '../connections/BodyCollector.js';
import ShortPiecePacer from '../connections/ShortPiecePacer.js';
import type { BodyRoom } from '../memory/BodyRoom.js';
import { UNBOUNDED_ROOM } from '../memory/BodyRoom.js';
import type { RefusalReason } from './Refusal.js';

/** Longest wait for the next chunk of a body. */
const BODY_INACTIVITY_MILLISECONDS = 10_000;

export type RequestBody =
  | {
      readonly kind: 'whole';
      readonly bytes: Buffer;
      /** Gives its room in memory back, once nobody needs the body. */
      readonly release: () => void;
    }
  | {
      readonly kind: 'refused';
      readonly reason: Extract<RefusalReason, 'body-too-large' | 'memory-full' | 'too-late'>;
    }
  /** The caller disconnected or stopped sending before the end. */
  | { readonly kind: 'cut' };

export interface ReadingOptions {
  /** Size in bytes from which the body is too large. */
  readonly limitBytes: number;
  /** Monotonic time by which the body must have arrived. */
  readonly deadline: number;
  readonly clock: Clock;
}

const CUT: RequestBody = { kind: 'cut' };

export default class BodyReading {
  private readonly body: BodyCollector;

  private readonly pacer: ShortPiecePacer;

  private room: BodyRoom = UNBOUNDED_ROOM;

  private lastPieceAt: number;

  private cancelTimer: (() => void) | undefined;

  private resolve: ((body: RequestBody) => void) | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly options: ReadingOptions,
  ) {
    const { clock } = options;
    this.body = new BodyCollector(statedLength(request) ?? 0);
    this.pacer = new ShortPiecePacer(request, clock);
    this.lastPieceAt = clock.now();
  }

  public run(room: BodyRoom): Promise<RequestBody> {
    const { request } = this;
    this.room = room;
    return new Promise((resolve) => {
      this.resolve = resolve;
      if (request.destroyed) {
        this.settle(CUT);
        return;
      }
      request.on('data', this.add);
      request.on('end', () => this.finish());
      request.on('error', () => this.settle(CUT));
      request.on('close', () => this.settle(CUT));
      this.watch();
    });
  }

  /** Ends the reading; only the first call counts. */
  public settle(result: RequestBody): void {
    const { resolve } = this;
    if (resolve === undefined) return;
    this.resolve = undefined;
    this.request.removeListener('data', this.add);
    this.cancelTimer?.();
    this.pacer.stop();
    if (result.kind !== 'whole') this.room.release();
    resolve(result);
  }

  private readonly add = (piece: Buffer): void => {
    this.lastPieceAt = this.options.clock.now();
    if (this.body.size + piece.length > this.options.limitBytes) {
      this.settle(refuse('body-too-large'));
    } else if (this.room.take(piece.length)) {
      this.body.add(piece);
      this.pacer.count(piece.length);
    } else {
      this.settle(refuse('memory-full'));
    }
  };

  private finish(): void {
    const { room } = this;
    if (this.resolve === undefined) return;
    const bytes = this.body.join();
    room.complete();
    this.settle({ kind: 'whole', bytes, release: () => room.release() });
  }

  /** Looks again when the next piece or the whole body is due. */
  private watch(): void {
    const { clock, deadline } = this.options;
    const pieceDueAt = this.lastPieceAt + BODY_INACTIVITY_MILLISECONDS;
    const now = clock.now();
    if (now >= deadline) {
      this.settle(refuse('too-late'));
    } else if (now >= pieceDueAt) {
      this.settle(CUT);
    } else {
      const milliseconds = Math.min(deadline, pieceDueAt) - now;
      this.cancelTimer = clock.after(milliseconds, () => this.watch());
    }
  }
}

type BodyRefusal = Extract<RequestBody, { kind: 'refused' }>;

/** A body that must not be read further. */
export function refuse(reason: BodyRefusal['reason']): BodyRefusal {
  return { kind: 'refused', reason };
}

/** Length of the body; undefined if it is sent in chunks. */
export function statedLength({ headers }: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}
