/** One request on its way to a target, and what can become of it. */
import type { Readable } from 'node:stream';
import type { OutcomeReason, Priority, RequestClass } from '@cactusrun/core';

/** Name and value of one header field. */
export type HeaderField = readonly [name: string, value: string];

/** A request's body: what was read already, and the rest of a long one. */
export interface RequestBody {
  readonly head: Buffer;
  /** The head is the whole body, so that it can be sent more than once. */
  readonly isWhole: boolean;
  readonly rest?: Readable;
}

export interface Attempt {
  readonly service: string;
  readonly shard: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: RequestBody;
  readonly requestClass: RequestClass;
  readonly priority: Priority;
  readonly isDeposit: boolean;
  /** Identifies the request by its content, for requests that break targets. */
  readonly fingerprint: string;
  readonly callerZone: string;
  /** Monotonic time of this process after which nobody waits for the answer. */
  readonly deadline: number;
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
  /** Called when a slot is held and the rest of a long body may be sent for. */
  readonly onAdmitted?: () => void;
}

/** What a shard had free when it answered. */
export interface ShardLoad {
  readonly freeSlots: number;
  readonly queued: number;
  readonly isDoubtful: boolean;
}

export interface Answered {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: readonly HeaderField[];
  /** Ends when the answer is whole; is destroyed with an error when it was cut. */
  readonly body: Readable;
  readonly target: string;
  readonly load?: ShardLoad;
}

export interface Refused {
  readonly kind: 'refused';
  readonly reason: OutcomeReason;
  readonly detail: string;
  readonly load?: ShardLoad;
}

export type AttemptResult = Answered | Refused;

export function refusal(reason: OutcomeReason, detail: string, load?: ShardLoad): Refused {
  return load === undefined
    ? { kind: 'refused', reason, detail }
    : { kind: 'refused', reason, detail, load };
}
