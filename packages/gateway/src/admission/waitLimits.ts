/**
 * How long a wait for room pays for a request. An answer after the latency objective serves its
 * caller less, and under overload each slot can give an answer that is in time instead. The limits follow from
 * the request and the service alone: a short request with a tight objective waits briefly, a slow
 * one with a wide objective longer.
 */

/** The wait leaves most of the caller's time, so that it can return after a refusal. */
const REMAINING_SHARE = 0.25;
/** Attempts for which the caller's time must last. */
const ATTEMPTS = 2;
/**
 * Part of the time until its answer would be late that a request may expect to wait on arrival. The
 * rest is kept for what comes between: more urgent requests, and room that comes free more slowly.
 */
const ARRIVAL_SHARE = 0.5;

export interface WaitLimits {
  /** Longest expected wait with which a request is queued, in milliseconds. */
  readonly onArrival: number;
  /** Longest wait, in milliseconds. */
  readonly untilExpiry: number;
}

interface WaitQuery {
  /** What is left of the latency objective. */
  readonly objectiveMilliseconds: number;
  /** Monotonic time by which the caller needs its answer. */
  readonly deadline: number;
}

/** The limits of a request that arrives now. */
export function waitLimitsOf(
  { objectiveMilliseconds, deadline }: WaitQuery,
  serviceMilliseconds: number,
  now: number,
): WaitLimits {
  const remaining = deadline - now;
  const bound = Math.min(remaining * REMAINING_SHARE, remaining - ATTEMPTS * serviceMilliseconds);
  // An objective that a single attempt hardly meets says nothing of how long a wait pays.
  const untilLate = Math.max(serviceMilliseconds, objectiveMilliseconds - serviceMilliseconds);
  const untilExpiry = Math.max(0, Math.min(bound, untilLate));
  return { onArrival: untilExpiry * ARRIVAL_SHARE, untilExpiry };
}
