/**
 * Rendezvous hashing: each key is assigned to the member with the highest score for it. Members
 * that agree on the set of members agree on every key without communication; when one of N members
 * is lost, only its own keys, about 1/N of all, are reassigned.
 */
import createXxhash from 'xxhash-wasm';

/** Computes a pseudo-random score for a pair of key and member. */
export type Scorer = (key: string, member: string) => number;

/** Loads the hash function; scores are the same on every machine. */
export async function createScorer(): Promise<Scorer> {
  const { h32 } = await createXxhash();
  return (key, member) => h32(`${key}\u0000${member}`);
}

interface ScoredMember {
  readonly member: string;
  readonly score: number;
}

function isBetter(left: ScoredMember, right: ScoredMember): boolean {
  return left.score > right.score || (left.score === right.score && left.member < right.member);
}

/** Members by descending score: a key belongs to the first, or to the next if that is lost. */
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

/** The member to which a key belongs, or undefined if there are no members. */
export function placeKey(
  scorer: Scorer,
  key: string,
  members: readonly string[],
): string | undefined {
  return members.reduce<ScoredMember | undefined>((best, member) => {
    const scored = { member, score: scorer(key, member) };
    return best === undefined || isBetter(scored, best) ? scored : best;
  }, undefined)?.member;
}
