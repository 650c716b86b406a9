/** What a daemon knows of targets' notices, for tests, and the admission by it. */
import type { Clock } from '@cactusrun/core';
import { Counters, silentLogger } from '@cactusrun/core';
import LeavingTargets from '../../limits/LeavingTargets.js';
import TargetAdmission from '../../limits/TargetAdmission.js';
import type TargetRateLimits from '../../limits/TargetRateLimits.js';
import TargetBackoffs from '../../limits/TargetBackoffs.js';
import type WorkspaceQuotas from '../../limits/WorkspaceQuotas.js';
import createQuotas from './createQuotas.js';
import createRateLimits from './createRateLimits.js';

export interface TargetNotices {
  readonly leavingTargets: LeavingTargets;
  readonly backoffs: TargetBackoffs;
  readonly rateLimits: TargetRateLimits;
  readonly admission: TargetAdmission;
  readonly quotas: WorkspaceQuotas;
}

export default function createTargetNotices(clock: Clock): TargetNotices {
  const parts = { clock, counters: new Counters(), logger: silentLogger };
  const leavingTargets = new LeavingTargets(parts);
  const backoffs = new TargetBackoffs(parts);
  const rateLimits = createRateLimits(clock);
  const admission = new TargetAdmission({ leavingTargets, backoffs, rateLimits });
  return { leavingTargets, backoffs, rateLimits, admission, quotas: createQuotas(clock) };
}
