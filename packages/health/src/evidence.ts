/**
 * Converts the result of a request to evidence: the log-likelihood ratio of an unhealthy against a
 * healthy target. Positive values are evidence against the target.
 */

/** An unhealthy target is assumed to be slower than its peers by this factor. */
const SLOW_FACTOR = 4;
/** An unhealthy target is assumed to fail at this rate. */
const UNHEALTHY_FAILURE_RATE = 0.5;
/** Lower bound of the failure rate assumed for peers. */
const MINIMUM_PEER_FAILURE_RATE = 0.005;
/** Bounds of the evidence of a single request. */
const MAXIMUM_LOG_RATIO = 2.5;
const MINIMUM_LOG_RATIO = -0.9;

function clamp(logRatio: number): number {
  return Math.min(MAXIMUM_LOG_RATIO, Math.max(MINIMUM_LOG_RATIO, logRatio));
}

/**
 * Evidence of a request that is still running after a time: the log ratio of the probabilities of
 * lasting at least that long.
 */
export function survivalLogRatio(milliseconds: number, peerMilliseconds: number): number {
  const relativeDuration = milliseconds / Math.max(peerMilliseconds, Number.MIN_VALUE);
  return clamp(relativeDuration * (1 - 1 / SLOW_FACTOR));
}

/**
 * Evidence of a completed request. Durations are modelled as exponential with the mean of the peers
 * for a healthy target, and `SLOW_FACTOR` times that for an unhealthy one.
 */
export function durationLogRatio(milliseconds: number, peerMilliseconds: number): number {
  const relativeDuration = milliseconds / Math.max(peerMilliseconds, Number.MIN_VALUE);
  return clamp(relativeDuration * (1 - 1 / SLOW_FACTOR) - Math.log(SLOW_FACTOR));
}

/** Evidence of a failed request, relative to the failure rate of the peers. */
export function failureLogRatio(peerFailureRate: number): number {
  const healthyRate = Math.max(MINIMUM_PEER_FAILURE_RATE, peerFailureRate);
  return clamp(Math.max(0, Math.log(UNHEALTHY_FAILURE_RATE / healthyRate)));
}

/** Evidence of a request that timed out. */
export const TIMEOUT_LOG_RATIO = MAXIMUM_LOG_RATIO;

/** A running request is overdue at this multiple of the duration of the peers. */
export const OVERDUE_FACTOR = 3;
