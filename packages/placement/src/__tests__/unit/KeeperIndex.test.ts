import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import KeeperIndex from '../../KeeperIndex.js';
import { createScorer, placeKey } from '../../Placement.js';
import type { KeeperCandidate } from '../../Shard.js';
import { rankKeepers } from '../../Shard.js';

const scorer = await createScorer();
const ZONES = ['west-a', 'west-b', 'east-a'];

function candidate(index: number): KeeperCandidate {
  const zone = ZONES[index % ZONES.length]!;
  return { name: `host-${index}`, zone, region: zone.split('-')[0]! };
}

function shardOf(index: number) {
  const zone = ZONES[index % 2]!;
  return { id: `service-${index}/${zone}/0`, zone, region: 'west' };
}

describe('placeKey', () => {
  it('reassigns about one key in N when one of N members is lost', () => {
    const members = Array.from({ length: 20 }, (_, index) => `m${index}`);
    const keys = Array.from({ length: 4_000 }, (_, index) => `k${index}`);
    const before = keys.map((key) => placeKey(scorer, key, members));
    const after = keys.map((key) => placeKey(scorer, key, members.slice(1)));
    const moved = keys.filter((_, index) => before[index] !== after[index]);
    expect(moved.every((_, index) => before[keys.indexOf(moved[index]!)] === 'm0')).toBe(true);
    expect(moved.length / keys.length).toBeGreaterThan(0.5 / 20);
    expect(moved.length / keys.length).toBeLessThan(2 / 20);
  });

  it('distributes keys evenly over the members', () => {
    const members = Array.from({ length: 10 }, (_, index) => `m${index}`);
    const counts = new Map<string, number>();
    Array.from({ length: 10_000 }, (_, index) => placeKey(scorer, `k${index}`, members)!).forEach(
      (member) => counts.set(member, (counts.get(member) ?? 0) + 1),
    );
    expect(Math.min(...counts.values())).toBeGreaterThan(850);
    expect(Math.max(...counts.values())).toBeLessThan(1_150);
  });
});

describe('KeeperIndex', () => {
  it('agrees with a full ranking after any sequence of member sets', () => {
    const sets = fc.array(fc.uniqueArray(fc.nat(11), { maxLength: 12 }), {
      minLength: 1,
      maxLength: 12,
    });
    fc.assert(
      fc.property(sets, (sequence) => {
        const index = new KeeperIndex(scorer);
        sequence.forEach((numbers) => {
          const members = numbers.map(candidate);
          index.setMembers(members);
          Array.from({ length: 8 }, (_, number) => shardOf(number)).forEach((shard) => {
            expect(index.keeperOf(shard)).toBe(rankKeepers(scorer, shard, members)[0]);
          });
        });
      }),
      { seed: 5, numRuns: 200 },
    );
  });
});
