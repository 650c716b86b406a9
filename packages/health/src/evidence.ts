/** Turns what became of a request into evidence: a log-likelihood ratio of sick against healthy. */

/** A sick target is taken to be slower than its peers by this factor. */
const SLOW_FACTOR = 4;
/** A sick target is taken to fail this share of its requests. */
const SICK_FAILURE_RATE = 0.5;
/** Peers are never taken to fail less than this. */
const LOWEST_FAILURE_RATE = 0.005;
/** No single request counts for more, whichever way. */
const STRONGEST_AGAINST = 2.5;
const STRONGEST_FOR = -0.9;

function clamp(ratio: number): number {
  return Math.min(STRONGEST_AGAINST, Math.max(STRONGEST_FOR, ratio));
}

/**
 * Evidence of a request that still runs, or was cancelled, after a time: the ratio of the chances
 * of lasting at least that long.
 */
export function survivalRatio(milliseconds: number, peerMilliseconds: number): number {
  const relative = milliseconds / Math.max(peerMilliseconds, Number.MIN_VALUE);
  return clamp(relative * (1 - 1 / SLOW_FACTOR));
}

/**
 * Evidence of a duration that has ended: exponential durations whose mean is either that of the
 * peers or `SLOW_FACTOR` times as long.
 */
export function durationRatio(milliseconds: number, peerMilliseconds: number): number {
  const relative = milliseconds / Math.max(peerMilliseconds, Number.MIN_VALUE);
  return clamp(relative * (1 - 1 / SLOW_FACTOR) - Math.log(SLOW_FACTOR));
}

/** Evidence of a failure, against the rate at which the peers fail. */
export function failureRatio(peerFailureRate: number): number {
  const healthy = Math.max(LOWEST_FAILURE_RATE, peerFailureRate);
  return clamp(Math.max(0, Math.log(SICK_FAILURE_RATE / healthy)));
}

/** Evidence of a request that was given up at its time limit. */
export const TIMEOUT_RATIO = STRONGEST_AGAINST;

/** The relative duration at which a running request is first looked at. */
export const OVERDUE_FACTOR = 3;
