/** The request and the result of one attempt at a target. */
import type { Readable } from 'node:stream';
import type { HeaderField } from '@cactusrun/requests';
import type { TargetStatement } from '../state/TargetStatement.js';

export type HeaderFields = readonly HeaderField[];

/** A request as it is sent to a target. */
export interface OutgoingRequest {
  /** The attempt id that the caller set, which targets echo in their answers. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** End-to-end fields, without those that the gateway sets itself. */
  readonly fields: HeaderFields;
  readonly body: Buffer;
  readonly kind: 'repeatable' | 'once';
  /** Monotonic time by which the answer must have arrived. */
  readonly deadline: number;
  /** Whether a target may already have received the request. */
  readonly isRetry: boolean;
  /** Whether it must not be sent on an idle connection. */
  readonly needsNewConnection: boolean;
}

export interface TargetAnswer {
  readonly status: number;
  readonly fields: HeaderFields;
  /** The whole body, or its first part when `bodyRest` follows. */
  readonly bodyStart: Buffer;
  readonly bodyRest: Readable | undefined;
  /** Length of the whole body, where the answer states it. */
  readonly bodyBytes?: number;
  /** What the target states of itself. */
  readonly stated: TargetStatement;
  /** Whether the body is framed explicitly, rather than ended by the end of the connection. */
  readonly isFramed: boolean;
  /** Whether the answer carries the signature field that marks a genuine answer. */
  readonly isSigned: boolean;
}

/** Length of the body: as stated, or of what has arrived. */
export function lengthOf({ bodyBytes, bodyStart }: TargetAnswer): number {
  return bodyBytes ?? bodyStart.length;
}

export type AttemptResult =
  | { readonly kind: 'answered'; readonly answer: TargetAnswer }
  /** The target reported that it did not run the request. */
  | {
      readonly kind: 'not-run';
      readonly reason: 'full' | 'other-target' | 'refused';
      readonly stated: TargetStatement;
    }
  /** No byte of the request was written. */
  | { readonly kind: 'not-sent'; readonly detail: string; readonly isRefused: boolean }
  /** The request was written and no complete answer arrived: it may have run. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** Like `broken`, on a connection that the target had dropped while it was idle. */
  | { readonly kind: 'dropped'; readonly detail: string }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'cancelled' };

/** Names of header fields that the gateway sets towards targets and reads from their answers. */
export interface TargetFieldNames {
  readonly attemptId: string;
  readonly deadline: string;
  readonly expectedTarget: string;
  readonly notRun: string;
  readonly load: string;
  readonly rateLimit: string;
  /** Set in the answers of a target that is about to shut down. */
  readonly leaving: string;
  readonly signature: string;
  /** Tells targets the workspace of the caller. */
  readonly workspace: string;
}
