import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers, not for cryptography; injected, so that runs are reproducible. */
export interface Random {
  /** A number in [0, 1). */
  unit(): number;
  /** An integer in [0, limit). */
  below(limit: number): number;
  /** An exponentially distributed number with the given mean. */
  exponential(mean: number): number;
}

/**
 * Creates a generator that returns the same numbers for the same seed.
 *
 * @param seed - a 32-bit integer
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const unit = () => uniformFloat64(generator);
  return {
    unit,
    below: (limit) => uniformInt(generator, 0, limit - 1),
    exponential: (mean) => -Math.log(1 - unit()) * mean,
  };
}

/** A random item, or undefined for an empty list. */
export function pickOne<Item>(random: Random, items: readonly Item[]): Item | undefined {
  return items.length === 0 ? undefined : items[random.below(items.length)];
}

/** A copy of the items in random order. */
export function shuffle<Item>(random: Random, items: readonly Item[]): Item[] {
  return items
    .map((item) => ({ item, rank: random.unit() }))
    .sort((left, right) => left.rank - right.rank)
    .map(({ item }) => item);
}
