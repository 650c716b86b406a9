/** Chooses the target of a shard to which a request is sent. */
import type { Random, TargetHealth, TargetState } from '@cactusrun/core';
import type { Attempt } from './Attempt.js';
import type TargetSlots from './TargetSlots.js';

interface RankedTarget {
  readonly slots: TargetSlots;
  readonly rank: number;
}

/** Targets that must not be chosen, in addition to those without a free slot. */
export interface Exclusion {
  /** Names of the targets to which the request was already sent. */
  readonly tried: readonly string[];
  /** The request may have crashed a target; two such requests must not share a target. */
  readonly isCrashSuspect: boolean;
}

function pickLeastLoaded(random: Random, choices: readonly TargetSlots[]): TargetSlots | undefined {
  return choices
    .map((slots) => ({ slots, rank: slots.free + random.unit() }))
    .reduce<RankedTarget | undefined>(
      (best, candidate) => (best === undefined || candidate.rank > best.rank ? candidate : best),
      undefined,
    )?.slots;
}

function isSafeToRetry(attempt: Attempt): boolean {
  return attempt.requestClass === 'idempotent' && attempt.body.isWhole;
}

export default class TargetChooser {
  constructor(
    private readonly slots: ReadonlyMap<string, TargetSlots>,
    private readonly health: TargetHealth,
    private readonly random: Random,
  ) {}

  /** The target for a request, or undefined if it must wait. */
  public choose(attempt: Attempt, exclusion: Exclusion): TargetSlots | undefined {
    const openTargets = [...this.slots.values()].filter((slots) => slots.size > 0);
    const usable = openTargets.filter((slots) => isUsable(slots, exclusion));
    const suspects = this.inState(usable, 'suspect', attempt);
    const trial = this.chooseTrial(attempt, suspects);
    if (trial !== undefined) return trial;
    const preferred = this.inState(usable, 'preferred', attempt);
    if (preferred.length > 0) return pickLeastLoaded(this.random, preferred);
    const hasPreferred = this.inState(openTargets, 'preferred', attempt).length > 0;
    return pickLeastLoaded(this.random, overflowTargets(attempt, suspects, hasPreferred));
  }

  /** The target for a hedge of a late request; only a preferred one. */
  public chooseHedge(attempt: Attempt, exclusion: Exclusion): TargetSlots | undefined {
    const usable = [...this.slots.values()].filter((slots) => isUsable(slots, exclusion));
    return pickLeastLoaded(this.random, this.inState(usable, 'preferred', attempt));
  }

  private inState(
    choices: readonly TargetSlots[],
    state: TargetState,
    attempt: Attempt,
  ): readonly TargetSlots[] {
    return choices.filter(
      (slots) => this.health.stateOf(slots.target.name, attempt.callerZone) === state,
    );
  }

  /** A suspect target that is due for a trial request, if this request can be hedged. */
  private chooseTrial(attempt: Attempt, suspects: readonly TargetSlots[]): TargetSlots | undefined {
    if (!isSafeToRetry(attempt)) return undefined;
    return suspects.find((slots) => slots.used === 0 && this.health.isTrialDue(slots.target.name));
  }
}

function isUsable(slots: TargetSlots, exclusion: Exclusion): boolean {
  const isExcluded =
    exclusion.tried.includes(slots.target.name) ||
    (exclusion.isCrashSuspect && slots.hasCrashSuspect);
  return slots.free > 0 && !isExcluded;
}

/**
 * Suspect targets that may serve when no preferred target has a free slot: one idempotent request
 * each, or any request if no target of the shard is preferred.
 */
function overflowTargets(
  attempt: Attempt,
  suspects: readonly TargetSlots[],
  hasPreferred: boolean,
): readonly TargetSlots[] {
  if (!hasPreferred) return suspects;
  if (!isSafeToRetry(attempt)) return [];
  return suspects.filter((slots) => slots.used === 0);
}
