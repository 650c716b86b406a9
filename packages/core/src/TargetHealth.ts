/** The interface between what dispatches requests and what judges the targets by them. */

/**
 * How a target stands for new work. `preferred`: ordinary work. `suspect`: steered around, a
 * trickle of idempotent requests and overflow only. `ejected`: no work at all.
 */
export type Standing = 'preferred' | 'suspect' | 'ejected';

/** What became of one request at a target. */
export type ObservedResult =
  'answered' | 'error-status' | 'broken' | 'connect-failed' | 'shed' | 'timeout' | 'cancelled';

/** Whether the connection that carries a request carried another one before. */
export type ConnectionAge = 'new' | 'reused';

/** One request under way at a target. */
export interface Observation {
  /** Reports that the request was written, to a connection that was new or used before. */
  sentOn(connection: ConnectionAge): void;
  /** Reports the end; only the first call counts. */
  finish(result: ObservedResult): void;
}

export interface TargetHealth {
  /** How the target stands for callers of that zone. */
  standing(target: string, callerZone: string): Standing;
  /** Whether a suspect target should be tried with the next idempotent request. */
  isTrialDue(target: string): boolean;
  /** Reports that a request is handed to the target. */
  started(target: string, callerZone: string): Observation;
  /** The duration after which a request is late enough to be hedged, in milliseconds. */
  lateAfterMilliseconds(): number;
  /** Most targets fail together, so that the fault may be this daemon's own. */
  readonly isDoubtful: boolean;
}
