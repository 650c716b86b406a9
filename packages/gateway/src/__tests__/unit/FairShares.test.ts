/** Guards against a large workspace that is treated as a hot one, and a hot one that is not. */
import { describe, expect, it } from 'vitest';
import FairShares from '../../admission/FairShares.js';

/** Start tags of requests of each workspace after a calm time with the given use. */
function tagsAfter(usage: Readonly<Record<string, number>>, workspace: string, count: number) {
  const shares = new FairShares();
  Object.entries(usage).forEach(([name, requests]) =>
    Array.from({ length: requests }, (_, index) =>
      shares.recordAdmitted(shares.reserve(name, index), index),
    ),
  );
  const first = shares.reserve(workspace, 1_000);
  return Array.from({ length: count }, () => shares.reserve(workspace, 1_000).start - first.start);
}

describe('FairShares', () => {
  it('lets a workspace go ahead in proportion to its usual use', () => {
    const usage = { small: 20, large: 120 };
    const [small, large] = ['small', 'large'].map((name) => tagsAfter(usage, name, 6).at(-1)!);
    expect(small! / large!).toBeCloseTo(121 / 21, 1);
  });

  it('gives a new workspace a share', () => {
    const [next] = tagsAfter({ a: 100, b: 100 }, 'new', 1);
    expect(next).toBeLessThanOrEqual(4);
  });

  it('does not count a request that was not served', () => {
    const shares = new FairShares();
    const first = shares.reserve('a', 0);
    shares.release(first);
    expect(shares.reserve('a', 0).start).toBe(first.start);
  });
});
