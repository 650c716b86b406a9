/** A caller's request as a daemon sees it, however it came, and what the caller is told. */
import type { Readable } from 'node:stream';
import type { OutcomeReason } from '@cactusrun/core';
import type { HeaderField, RequestBody } from '@cactusrun/requests';

export interface CallerRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: RequestBody;
  /** Named space that the request's routes belong to. */
  readonly workspace: string;
  /** Who calls, as far as the request shows it; kept answers go to the same caller only. */
  readonly caller: string;
  readonly callerZone: string;
  readonly ticket: string | undefined;
  /** Longest time that the caller waits, in milliseconds from the request's arrival. */
  readonly limitMilliseconds: number | undefined;
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
  /** The request came from another daemon: it must not be passed on again. */
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

/** Header fields of this system. */
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
