/** What a daemon knows of targets' notices, for tests, and the admission by it. */
import type { Clock } from '@cactusrun/core';
import { Counters, silentLogger } from '@cactusrun/core';
import DepartingTargets from '../../limits/DepartingTargets.js';
import TargetAdmission from '../../limits/TargetAdmission.js';
import type TargetRateLimits from '../../limits/TargetRateLimits.js';
import TargetRests from '../../limits/TargetRests.js';
import createRateLimits from './createRateLimits.js';

export interface TargetNotices {
  readonly departures: DepartingTargets;
  readonly rests: TargetRests;
  readonly rateLimits: TargetRateLimits;
  readonly admission: TargetAdmission;
}

export default function createTargetNotices(clock: Clock): TargetNotices {
  const parts = { clock, counters: new Counters(), logger: silentLogger };
  const departures = new DepartingTargets(parts);
  const rests = new TargetRests(parts);
  const rateLimits = createRateLimits(clock);
  const admission = new TargetAdmission({ departures, rests, rateLimits });
  return { departures, rests, rateLimits, admission };
}
