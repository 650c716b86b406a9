/**
 * Whether this daemon may send an attempt to a target now, by what targets have stated in their answers.
 * Every attempt passes here: the picker, from which first attempts, retries, hedged requests, trials
 * and the last resort get their target, asks it for each.
 */
import type { TargetEntry } from '../state/TargetEntry.js';
import type LeavingTargets from './LeavingTargets.js';
import type TargetRateLimits from './TargetRateLimits.js';
import type TargetBackoffs from './TargetBackoffs.js';

/** Why a target may not be sent to. */
export type Denial =
  | { readonly kind: 'leaving' }
  /** It asked this daemon to send nothing until the monotonic time. */
  | { readonly kind: 'backing-off'; readonly until: number }
  | { readonly kind: 'rate-limited' };

export interface TargetAdmissionParts {
  readonly leavingTargets: Pick<LeavingTargets, 'includes'>;
  readonly backoffs: Pick<TargetBackoffs, 'untilOf' | 'isUnproven'>;
  readonly rateLimits: Pick<TargetRateLimits, 'hasRoom'>;
}

export default class TargetAdmission {
  constructor(private readonly parts: TargetAdmissionParts) {}

  /** Returns undefined when the target may be sent to. */
  public denialOf(entry: TargetEntry): Denial | undefined {
    const { leavingTargets, backoffs, rateLimits } = this.parts;
    if (leavingTargets.includes(entry.id, entry.bornAt)) return { kind: 'leaving' };
    const until = backoffs.untilOf(entry.id, entry.bornAt);
    if (until !== undefined) return { kind: 'backing-off', until };
    return rateLimits.hasRoom(entry) ? undefined : { kind: 'rate-limited' };
  }

  /** Whether the target may refuse the next request too: it asked for a backoff lately. */
  public isUnproven({ id, bornAt }: TargetEntry): boolean {
    return this.parts.backoffs.isUnproven(id, bornAt);
  }
}
