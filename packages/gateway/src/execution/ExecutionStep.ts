/** What follows an attempt: an outcome for the caller, or another attempt. */
import type { CallerOutcome } from '../callers/CallerExchange.js';

export type ExecutionStep =
  { readonly kind: 'done'; readonly outcome: CallerOutcome } | { readonly kind: 'again' };

export const RETRY: ExecutionStep = { kind: 'again' };

/** The caller disconnected. */
export const CANCELLED: ExecutionStep = { kind: 'done', outcome: { kind: 'cancelled' } };
