/** Picks targets that have as little in common as possible, so that no single fault explains all. */
import type { TargetEntry } from '../state/TargetEntry.js';

/**
 * Takes targets in the given order, each time one of a service and an availability zone that were
 * taken least often.
 */
export default function pickSpread(
  targets: readonly TargetEntry[],
  count: number,
): readonly TargetEntry[] {
  return Array.from({ length: Math.min(count, targets.length) }).reduce<readonly TargetEntry[]>(
    (taken) => [...taken, leastAlike(targets, taken)],
    [],
  );
}

function leastAlike(targets: readonly TargetEntry[], taken: readonly TargetEntry[]): TargetEntry {
  const likenessOf = (target: TargetEntry) =>
    taken.filter(({ service }) => service === target.service).length +
    taken.filter(({ zone }) => zone === target.zone).length;
  return targets
    .filter((target) => !taken.includes(target))
    .map((target) => ({ target, likeness: likenessOf(target) }))
    .reduce((best, next) => (next.likeness < best.likeness ? next : best)).target;
}
