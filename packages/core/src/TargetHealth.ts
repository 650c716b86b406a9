/** The interface between request dispatch and the health estimates of targets. */

/**
 * Which new requests a target may get. `preferred`: all. `suspect`: deprioritized, gets only
 * occasional idempotent requests and overflow. `ejected`: none.
 */
export type TargetState = 'preferred' | 'suspect' | 'ejected';

/** The result of one attempt at a target. */
export type ObservedResult =
  'answered' | 'error-status' | 'broken' | 'connect-failed' | 'shed' | 'timeout' | 'cancelled';

/** Whether the connection of an attempt had carried another request before. */
export type ConnectionAge = 'new' | 'reused';

/** Records the course of one attempt at a target. */
export interface Observation {
  /** Records that the request was written to a new or a reused connection. */
  sentOn(connection: ConnectionAge): void;
  /** Records the result; only the first call counts. */
  finish(result: ObservedResult): void;
}

export interface TargetHealth {
  /** The target's state for callers in the zone. */
  stateOf(target: string, callerZone: string): TargetState;
  /** Whether the next idempotent request should go to this suspect target as a trial request. */
  isTrialDue(target: string): boolean;
  /** Records that an attempt at the target starts. */
  observeAttempt(target: string, callerZone: string): Observation;
  /** The delay after which an attempt is hedged. */
  hedgeDelayMilliseconds(): number;
  /** Whether most targets fail at once, so that the fault may lie in this daemon. */
  readonly isDoubtful: boolean;
}
