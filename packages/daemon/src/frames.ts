/** Converts requests and answers to and from the frames that daemons exchange. */
import type { OutcomeReason, Priority, RequestClass } from '@cactusrun/core';
import { isOutcomeReason } from '@cactusrun/core';
import type { AnswerFrame, ShardLoad as LoadMessage, RequestHead } from '@cactusrun/protocol';
import { AnswerFrameSchema, create, RequestFrameSchema } from '@cactusrun/protocol';
import type { Attempt, HeaderField, ShardLoad } from '@cactusrun/requests';
import type { CallerRequest } from './CallerRequest.js';

/** Maximum bytes of a long body in one frame: 2 ms of a 30 Mbit/s link. */
export const BULK_PIECE_BYTES = 8 * 1024;

type Frame = ReturnType<typeof create<typeof RequestFrameSchema>>;

const REQUEST_CLASSES: readonly RequestClass[] = ['idempotent', 'non-idempotent'];
const PRIORITIES: readonly Priority[] = ['high', 'normal', 'low'];

function toFields(headers: readonly HeaderField[]) {
  return headers.map(([name, value]) => ({ name, value }));
}

export function fromFields(
  fields: readonly { readonly name: string; readonly value: string }[],
): readonly HeaderField[] {
  return fields.map(({ name, value }) => [name, value]);
}

/** The first frame of an attempt: its head and the part of the body that was read. */
export function attemptFrame(attempt: Attempt, remainingMilliseconds: number): Frame {
  return create(RequestFrameSchema, {
    head: {
      service: attempt.service,
      shard: attempt.shard,
      method: attempt.method,
      path: attempt.path,
      headers: toFields(attempt.headers),
      requestClass: attempt.requestClass,
      priority: attempt.priority,
      isDeposit: attempt.isDeposit,
      fingerprint: attempt.fingerprint,
      callerZone: attempt.callerZone,
      remainingMilliseconds,
    },
    chunk: attempt.body.head,
    isLast: attempt.body.isWhole,
  });
}

/** The first frame of a caller's request that is forwarded to the daemon that issued its ticket. */
export function forwardFrame(request: CallerRequest, remainingMilliseconds: number): Frame {
  return create(RequestFrameSchema, {
    head: {
      method: request.method,
      path: request.path,
      headers: toFields(request.headers),
      callerZone: request.callerZone,
      remainingMilliseconds,
      ticket: request.ticket ?? '',
      caller: request.caller,
      workspace: request.workspace,
    },
    chunk: request.body.head,
    isLast: request.body.isWhole,
  });
}

export function chunkFrame(chunk: Buffer, isLast: boolean): Frame {
  return create(RequestFrameSchema, { chunk, isLast });
}

export function requestClassOf(head: RequestHead): RequestClass {
  return REQUEST_CLASSES.find((value) => value === head.requestClass) ?? 'non-idempotent';
}

export function priorityOf(head: RequestHead): Priority {
  return PRIORITIES.find((value) => value === head.priority) ?? 'normal';
}

export function loadOf(message: LoadMessage | undefined): ShardLoad | undefined {
  if (message === undefined) return undefined;
  const { freeSlots, queued, isDoubtful } = message;
  return { freeSlots, queued, isDoubtful };
}

/** The reason of a refusal; one that this version lacks becomes the least certain, keeper-lost. */
export function reasonOf(text: string): OutcomeReason {
  return isOutcomeReason(text) ? text : 'keeper-lost';
}

export function refusalFrame(reason: OutcomeReason, detail: string, load?: ShardLoad): AnswerFrame {
  return create(AnswerFrameSchema, {
    refusal: { reason, detail, ...(load === undefined ? {} : { load }) },
    isLast: true,
  });
}

export function answerHeadFrame(answer: {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly target?: string;
  readonly load?: ShardLoad;
}): AnswerFrame {
  return create(AnswerFrameSchema, {
    head: {
      status: answer.status,
      headers: toFields(answer.headers),
      target: answer.target ?? '',
      ...(answer.load === undefined ? {} : { load: answer.load }),
    },
  });
}
