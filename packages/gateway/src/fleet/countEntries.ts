/**
 * Decides how many daemons of a zone its callers are directed to. Callers spread evenly over them,
 * whatever their capacity, so that a small host beside large ones gets as many callers as they do.
 */

/** Entries of a zone without load, if the hosts are alike. */
export const USUAL_ENTRIES = 3;
/** With fewer entries than this, the failure of one leaves none. */
export const MINIMUM_ENTRIES = 2;
/** Each entry adds connections to targets and messages to all entries of the region. */
const MAXIMUM_ENTRIES = 8;
/** A host with less than this share of the greatest capacity is small. */
const SMALL_HOST_SHARE = 0.5;
/** Share of an entry's capacity that callers may take before entries are added. */
const CAPACITY_USE = 0.7;

/**
 * The number of entries: the first hosts up to the fewest of which none gets more than its share; if
 * that is impossible, the number at which the smallest one is the least overloaded.
 *
 * @param capacities - of the hosts in the order in which they become entries
 * @param load - of the callers, in the unit of the capacities; 0 if unknown
 */
export default function countEntries(capacities: readonly number[], load: number): number {
  const fewest = countUnloaded(capacities);
  const most = Math.max(fewest, Math.min(MAXIMUM_ENTRIES, capacities.length));
  const choices = Array.from({ length: most - fewest + 1 }, (_, index) => {
    const count = fewest + index;
    const smallest = Math.min(...capacities.slice(0, count));
    return { count, use: load === 0 ? 0 : load / count / smallest };
  });
  const sufficient = choices.find(({ use }) => use <= CAPACITY_USE);
  const least = choices.reduce((best, next) => (next.use < best.use ? next : best));
  return (sufficient ?? least).count;
}

/** Small hosts are left out if at least two others remain. */
function countUnloaded(capacities: readonly number[]): number {
  const usual = capacities.slice(0, USUAL_ENTRIES);
  const large = usual.filter((capacity) => capacity >= (usual[0] ?? 0) * SMALL_HOST_SHARE);
  return large.length >= MINIMUM_ENTRIES ? large.length : usual.length;
}
