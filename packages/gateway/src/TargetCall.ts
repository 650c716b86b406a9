/** What one sending of a request to one target came to. */
import type { Readable } from 'node:stream';
import type { HeaderField } from '@cactusrun/requests';

export type HeaderFields = readonly HeaderField[];

/** A request as it goes to a target. */
export interface OutgoingRequest {
  /** The caller's identity of this attempt, which targets repeat in their answers. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** End-to-end fields, without those that the gateway sets itself. */
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly kind: 'repeatable' | 'once';
  /** Monotonic time at which the answer must be there. */
  readonly deadline: number;
  /** Whether a target may have had the request before. */
  readonly isRepeated: boolean;
  /** Whether an idle connection must not carry it. */
  readonly needsNewConnection: boolean;
}

export interface TargetAnswer {
  readonly status: number;
  readonly fields: HeaderFields;
  /** The whole body, or its first part when the rest follows. */
  readonly head: Buffer;
  readonly rest: Readable | undefined;
  /** Requests that the target ran and held when it answered, if it says so. */
  readonly requestsThere: number | undefined;
  /** Whether the end of the body is known, rather than taken from the end of the connection. */
  readonly isFramed: boolean;
  /** Whether the answer carries the target's mark of a genuine answer. */
  readonly isSigned: boolean;
}

export type CallResult =
  | { readonly kind: 'answered'; readonly answer: TargetAnswer }
  /** The target said that it did not run the request. */
  | { readonly kind: 'not-run'; readonly reason: 'full' | 'other-target' | 'refused' }
  /** No byte of the request was written. */
  | { readonly kind: 'not-sent'; readonly detail: string; readonly isRefused: boolean }
  /** The request was written and no whole answer came: it may have run. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** The request was written on a connection that the target had dropped while idle; as broken. */
  | { readonly kind: 'dropped'; readonly detail: string }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'cancelled' };

/** Names of the fields that the gateway sets towards targets and reads from their answers. */
export interface TargetFieldNames {
  readonly attemptId: string;
  readonly deadline: string;
  readonly expectedTarget: string;
  readonly notRun: string;
  readonly load: string;
  readonly signature: string;
}
