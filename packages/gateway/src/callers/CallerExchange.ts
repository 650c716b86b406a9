/** A caller's request as the gateway receives it, and the outcome for the caller. */
import type { RelayStatement } from '../relay/RelayStatement.js';
import type { RefusalReason } from './Refusal.js';
import type { HeaderFields, TargetAnswer } from '../connections/TargetAttempt.js';

export interface CallerExchange {
  readonly id: string;
  readonly host: string;
  readonly method: string;
  readonly path: string;
  /** End-to-end fields as the caller sent them, its key included. */
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** Time that the caller waits, counted from `receivedAt`. */
  readonly deadlineMilliseconds: number | undefined;
  /** Monotonic time at which the head of the request was read. */
  readonly receivedAt: number;
  /** Set when a peer, which is cut off from all targets, relays a request of its caller. */
  readonly relayed: RelayStatement | undefined;
  /** Aborted when the caller disconnects, or before it is passed on because the daemon stops. */
  readonly signal: AbortSignal;
  /**
   * To be called before it is passed on to a target or a peer.
   *
   * @returns false if it must not be, since the daemon stops
   */
  readonly passOn: () => boolean;
}

/** Why a request gets no answer of a target. */
export interface Refused {
  readonly reason: RefusalReason;
  /** Earliest time at which a target can take the request, if that is known. */
  readonly freeInMilliseconds?: number;
}

export type CallerOutcome =
  | { readonly kind: 'answered'; readonly answer: TargetAnswer }
  | ({ readonly kind: 'refused' } & Refused)
  | { readonly kind: 'cancelled' };

/** The outcome of a request that gets no answer from a target. */
export function refuse(reason: RefusalReason, freeInMilliseconds?: number): CallerOutcome {
  const isKnown = freeInMilliseconds !== undefined;
  return { kind: 'refused', reason, ...(isKnown ? { freeInMilliseconds } : {}) };
}
