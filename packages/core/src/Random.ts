import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers for decisions that need no secrecy; passed in, so that every run can be repeated. */
export interface Random {
  /** A number from 0 up to, but without, 1. */
  unit(): number;
  /** A whole number from 0 up to, but without, the limit. */
  below(limit: number): number;
  /** An exponentially distributed number with the given mean. */
  exponential(mean: number): number;
}

/**
 * A generator that gives the same numbers for the same seed.
 *
 * @param seed - a 32-bit whole number
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

/** One of the items, or undefined of an empty list. */
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
