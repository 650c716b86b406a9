/** Reads the body of a caller's request into memory, once there is room for it. */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '@cactusrun/core';
import { UNBOUNDED_ROOM } from '../memory/BodyRoom.js';
import type BodyRooms from '../memory/BodyRooms.js';
import type { RequestBody } from './BodyReading.js';
import BodyReading, { refuse, statedLength } from './BodyReading.js';

/** Longest time in which a body may arrive, if its caller states no earlier deadline. */
const BODY_MILLISECONDS = 60_000;
/** Longest wait for room in memory. */
const ROOM_WAIT_MILLISECONDS = 1_000;
/** Largest share of a caller's deadline that this wait may use. */
const ROOM_WAIT_SHARE = 0.25;

export interface BodyOptions {
  /** Size in bytes from which the body is too large. */
  readonly limitBytes: number;
  /** Time that the caller waits for the answer; undefined if it does not state one. */
  readonly deadlineMilliseconds: number | undefined;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Bounds the bodies in memory; absent, nothing does. */
  readonly rooms: BodyRooms | undefined;
  readonly clock: Clock;
}

const CUT: RequestBody = { kind: 'cut' };

/** Reads a body. It is refused before it is read if its length shows that it cannot be held. */
export default async function readRequestBody(
  request: IncomingMessage,
  options: BodyOptions,
): Promise<RequestBody> {
  const { limitBytes, rooms, signal, clock } = options;
  const allowedMilliseconds = options.deadlineMilliseconds ?? BODY_MILLISECONDS;
  const deadline = clock.now() + Math.min(BODY_MILLISECONDS, allowedMilliseconds);
  const statedBytes = statedLength(request);
  if (statedBytes !== undefined && statedBytes > limitBytes) return refuse('body-too-large');
  const readingOptions = { limitBytes, deadline, clock };
  if (rooms === undefined) return new BodyReading(request, readingOptions).run(UNBOUNDED_ROOM);
  let reading: BodyReading | undefined;
  const room = await rooms.reserve({
    statedBytes,
    waitMilliseconds: Math.min(ROOM_WAIT_MILLISECONDS, allowedMilliseconds * ROOM_WAIT_SHARE),
    signal,
    onGiveWay: () => reading?.settle(refuse('memory-full')),
  });
  if (room === undefined) return signal.aborted ? CUT : refuse('memory-full');
  reading = new BodyReading(request, readingOptions);
  return reading.run(room);
}
