/**
 * Tells the fleet when this daemon is cut off from all targets, and when it reaches them again. Callers
 * are directed elsewhere at once, but back only once targets have been reached for a while, so that
 * links that come and go do not change the directory each time.
 */
import type { Clock, Stop } from '@cactusrun/core';
import type TargetReachability from './TargetReachability.js';

/** Time for which targets must have been reached before callers are directed here again. */
const STABLE_MILLISECONDS = 2_000;

/** Announces changes until the returned function is called. */
export default function announceReachability(
  reachability: Pick<TargetReachability, 'subscribe'>,
  clock: Clock,
  announce: (isCutOff: boolean) => void,
): Stop {
  let cancelReturn = () => {};
  const unsubscribe = reachability.subscribe((isCutOff) => {
    cancelReturn();
    if (isCutOff) announce(true);
    else cancelReturn = clock.after(STABLE_MILLISECONDS, () => announce(false));
  });
  return async () => {
    cancelReturn();
    unsubscribe();
  };
}
