/**
 * One attempt to run a request at a shard. The keeper (the daemon through which all requests to the
 * targets of the shard go) may send it to several targets in turn.
 */
import type { Readable } from 'node:stream';
import type { OutcomeReason, Priority, RequestClass } from '@cactusrun/core';

/** Name and value of one header field. */
export type HeaderField = readonly [name: string, value: string];

/** The body of a request: the part that was already read, and a stream of the rest. */
export interface RequestBody {
  readonly head: Buffer;
  /** Whether the head is the complete body, so that it can be sent more than once. */
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
  /** Identifies the request by its content, to recognise poison requests. */
  readonly fingerprint: string;
  readonly callerZone: string;
  /** Monotonic time of this process, in milliseconds, after which the caller no longer waits. */
  readonly deadline: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Called when a slot is granted and the rest of the body may be requested. */
  readonly onAdmitted?: () => void;
}

/** The load of a shard at the time of its answer. */
export interface ShardLoad {
  readonly freeSlots: number;
  readonly queued: number;
  readonly isDoubtful: boolean;
}

export interface Answered {
  readonly kind: 'answered';
  readonly status: number;
  readonly headers: readonly HeaderField[];
  /** Ends when the answer is complete; is destroyed with an error if it was truncated. */
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
