/** Interface to the targets, implemented over HTTP by the daemon and by fakes in tests. */
import type { Readable } from 'node:stream';
import type { ConnectionAge, Target } from '@cactusrun/core';
import type { Attempt, HeaderField } from './Attempt.js';

/** The result of sending a request to one target. */
export type TargetResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: readonly HeaderField[];
      readonly body: Readable;
    }
  /** The target refused the request without running it: it is overloaded or leaving. */
  | { readonly kind: 'shed'; readonly isLeaving: boolean }
  /** Proved not to have run: no byte was written. */
  | { readonly kind: 'connect-failed'; readonly detail: string }
  /** The connection broke after bytes were written. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** No data arrived in time, or the signal aborted the request. */
  | { readonly kind: 'timeout'; readonly detail: string };

export interface TargetConnector {
  /**
   * Sends a request once. Never rejects. The body of the answer must be read or destroyed.
   *
   * @param signal - aborts the request at the target
   * @param onSent - called before the first byte is written
   */
  send(
    target: Target,
    attempt: Attempt,
    signal: AbortSignal,
    onSent: (connection: ConnectionAge) => void,
  ): Promise<TargetResult>;
}
