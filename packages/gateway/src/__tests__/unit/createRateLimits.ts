/** Rate limits for tests, at a daemon that may use a fixed part of each. */
import type { Clock } from '@cactusrun/core';
import { Counters, createRandom, silentLogger } from '@cactusrun/core';
import TargetRateLimits from '../../limits/TargetRateLimits.js';

export default function createRateLimits(clock: Clock, share = 1): TargetRateLimits {
  return new TargetRateLimits({
    share: { of: () => share },
    clock,
    random: createRandom(1),
    counters: new Counters(),
    logger: silentLogger,
  });
}
