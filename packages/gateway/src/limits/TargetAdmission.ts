/**
 * Whether this daemon may send an attempt to a target now, by what targets have stated in their answers.
 * Every attempt passes here: the picker, from which first attempts, retries, hedged requests, trials
 * and the last resort get their target, asks it for each.
 */
import type { TargetEntry } from '../state/TargetEntry.js';
import type DepartingTargets from './DepartingTargets.js';
import type TargetRateLimits from './TargetRateLimits.js';
import type TargetRests from './TargetRests.js';

/** Why a target may not be sent to. */
export type Denial =
  | { readonly kind: 'leaving' }
  /** Until the monotonic time it wants nothing from this daemon. */
  | { readonly kind: 'resting'; readonly until: number }
  | { readonly kind: 'rate-limited' };

export interface TargetAdmissionParts {
  readonly departures: Pick<DepartingTargets, 'includes'>;
  readonly rests: Pick<TargetRests, 'untilOf' | 'isUnproven'>;
  readonly rateLimits: Pick<TargetRateLimits, 'hasRoom'>;
}

export default class TargetAdmission {
  constructor(private readonly parts: TargetAdmissionParts) {}

  /** Returns undefined when the target may be sent to. */
  public denialOf(entry: TargetEntry): Denial | undefined {
    const { departures, rests, rateLimits } = this.parts;
    if (departures.includes(entry.id, entry.bornAt)) return { kind: 'leaving' };
    const until = rests.untilOf(entry.id, entry.bornAt);
    if (until !== undefined) return { kind: 'resting', until };
    return rateLimits.hasRoom(entry) ? undefined : { kind: 'rate-limited' };
  }

  /** Whether the target may turn the next request away too, since it has just rested. */
  public isUnproven({ id, bornAt }: TargetEntry): boolean {
    return this.parts.rests.isUnproven(id, bornAt);
  }
}
