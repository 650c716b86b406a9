/** The narrow interface to the targets; HTTP stands behind it in the daemon, fakes in tests. */
import type { Readable } from 'node:stream';
import type { ConnectionAge, Target } from '@cactusrun/core';
import type { Attempt, HeaderField } from './Attempt.js';

/** What became of one request at one target. */
export type TargetResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: readonly HeaderField[];
      readonly body: Readable;
    }
  /** The target said that it did not run the request, because of its load or because it leaves. */
  | { readonly kind: 'shed'; readonly isLeaving: boolean }
  /** Proved not to have run: no byte was written. */
  | { readonly kind: 'connect-failed'; readonly detail: string }
  /** The connection ended after bytes were written. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** Nothing came for too long, or the signal ended the wait. */
  | { readonly kind: 'timeout'; readonly detail: string };

export interface TargetConnector {
  /**
   * Sends a request once. Never rejects. The answer's body must be read or destroyed.
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
