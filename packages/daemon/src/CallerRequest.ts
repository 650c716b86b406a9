/** A caller's request, received directly or forwarded by another daemon, and its answer. */
import type { Readable } from 'node:stream';
import type { OutcomeReason } from '@cactusrun/core';
import type { HeaderField, RequestBody } from '@cactusrun/requests';

export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: RequestBody;
  /** Workspace whose routes apply to the request. */
  readonly workspace: string;
  /** Digest of the caller's credentials; a stored answer is returned only to the same caller. */
  readonly caller: string;
  readonly callerZone: string;
  readonly ticket: string | undefined;
  /** The caller's timeout, from the arrival of the request. */
  readonly timeoutMilliseconds: number | undefined;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  /** Whether another daemon forwarded the request, so that it must not be forwarded again. */
  readonly isForwarded: boolean;
}

export type CallerAnswer =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: readonly HeaderField[];
      readonly body: Readable;
    }
  | { readonly kind: 'refused'; readonly reason: OutcomeReason; readonly detail: string };

/** Names of the `cactusrun-` header fields in requests and responses of callers. */
export const CALLER_HEADERS = {
  ticket: 'cactusrun-ticket',
  outcome: 'cactusrun-outcome',
  reason: 'cactusrun-reason',
  advice: 'cactusrun-retry',
  deadline: 'cactusrun-deadline-milliseconds',
  workspace: 'cactusrun-workspace',
  zone: 'cactusrun-caller-zone',
} as const;

export function refused(reason: OutcomeReason, detail = ''): CallerAnswer {
  return { kind: 'refused', reason, detail };
}
