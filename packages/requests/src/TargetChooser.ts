/** Chooses the target of a shard that a request goes to. */
import type { Random, Standing, TargetHealth } from '@cactusrun/core';
import type { Attempt } from './Attempt.js';
import type TargetSlots from './TargetSlots.js';

interface Ranked {
  readonly slots: TargetSlots;
  readonly rank: number;
}

/** What must not be chosen, beside the targets without a free slot. */
export interface Exclusion {
  /** Names of the targets that the request was sent to before. */
  readonly tried: readonly string[];
  /** The request broke a target once: it must not meet another of its kind. */
  readonly isCrashSuspect: boolean;
}

function pickFreest(random: Random, choices: readonly TargetSlots[]): TargetSlots | undefined {
  return choices
    .map((slots) => ({ slots, rank: slots.free + random.unit() }))
    .reduce<Ranked | undefined>(
      (best, candidate) => (best === undefined || candidate.rank > best.rank ? candidate : best),
      undefined,
    )?.slots;
}

function isSafeToRepeat(attempt: Attempt): boolean {
  return attempt.requestClass === 'idempotent' && attempt.body.isWhole;
}

export default class TargetChooser {
  constructor(
    private readonly slots: ReadonlyMap<string, TargetSlots>,
    private readonly health: TargetHealth,
    private readonly random: Random,
  ) {}

  /** The target for a request, or undefined when it must wait. */
  public choose(attempt: Attempt, exclusion: Exclusion): TargetSlots | undefined {
    const open = [...this.slots.values()].filter((slots) => slots.size > 0);
    const usable = open.filter((slots) => isUsable(slots, exclusion));
    const suspects = this.ofStanding(usable, 'suspect', attempt);
    const trial = this.chooseTrial(attempt, suspects);
    if (trial !== undefined) return trial;
    const preferred = this.ofStanding(usable, 'preferred', attempt);
    if (preferred.length > 0) return pickFreest(this.random, preferred);
    const hasPreferred = this.ofStanding(open, 'preferred', attempt).length > 0;
    return pickFreest(this.random, overflow(attempt, suspects, hasPreferred));
  }

  /** A second target for a late request: only one that stands well. */
  public chooseHedge(attempt: Attempt, exclusion: Exclusion): TargetSlots | undefined {
    const usable = [...this.slots.values()].filter((slots) => isUsable(slots, exclusion));
    return pickFreest(this.random, this.ofStanding(usable, 'preferred', attempt));
  }

  private ofStanding(
    choices: readonly TargetSlots[],
    standing: Standing,
    attempt: Attempt,
  ): readonly TargetSlots[] {
    return choices.filter(
      (slots) => this.health.standing(slots.target.name, attempt.callerZone) === standing,
    );
  }

  /** A suspect that is due gets one request that can be hedged. */
  private chooseTrial(attempt: Attempt, suspects: readonly TargetSlots[]): TargetSlots | undefined {
    if (!isSafeToRepeat(attempt)) return undefined;
    return suspects.find((slots) => slots.used === 0 && this.health.isTrialDue(slots.target.name));
  }
}

function isUsable(slots: TargetSlots, exclusion: Exclusion): boolean {
  const isExcluded =
    exclusion.tried.includes(slots.target.name) ||
    (exclusion.isCrashSuspect && slots.hasCrashSuspect);
  return slots.free > 0 && !isExcluded;
}

/** When nothing better is free, suspects serve as overflow: one idempotent request each. */
function overflow(
  attempt: Attempt,
  suspects: readonly TargetSlots[],
  hasPreferred: boolean,
): readonly TargetSlots[] {
  if (!hasPreferred) return suspects;
  if (!isSafeToRepeat(attempt)) return [];
  return suspects.filter((slots) => slots.used === 0);
}
