/**
 * Rendezvous hashing: each key is given to the member with the highest score for it. Members that
 * agree on the set of members agree on every key without a message; when one of N members is lost,
 * only its own keys, about 1/N of all, move.
 */
import createXxhash from 'xxhash-wasm';

/** Gives a pseudo-random score to a pair of key and member. */
export type Scorer = (key: string, member: string) => number;

/** Loads the hash function; the result is the same on every machine. */
export async function createScorer(): Promise<Scorer> {
  const { h32 } = await createXxhash();
  return (key, member) => h32(`${key}\u0000${member}`);
}

interface Scored {
  readonly member: string;
  readonly score: number;
}

function isBetter(left: Scored, right: Scored): boolean {
  return left.score > right.score || (left.score === right.score && left.member < right.member);
}

/** The members in their order for a key: the first keeps it, the next one follows if it is lost. */
export function rankMembers(
  scorer: Scorer,
  key: string,
  members: readonly string[],
): readonly string[] {
  return members
    .map((member) => ({ member, score: scorer(key, member) }))
    .sort((left, right) => (isBetter(left, right) ? -1 : 1))
    .map(({ member }) => member);
}

/** The member to which a key belongs, or undefined when there are no members. */
export function placeKey(
  scorer: Scorer,
  key: string,
  members: readonly string[],
): string | undefined {
  return members.reduce<Scored | undefined>((best, member) => {
    const scored = { member, score: scorer(key, member) };
    return best === undefined || isBetter(scored, best) ? scored : best;
  }, undefined)?.member;
}
