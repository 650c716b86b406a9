/**
 * Guards against more hedged requests than operators accept: in a fault every request is slow, and
 * each would be sent twice while the targets have the least room.
 */
import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import HedgeShare from '../../hedging/HedgeShare.js';

/** Sends requests, all of which want a hedge from the given one on; returns the number of hedges. */
function countHedges(share: HedgeShare, requests: number, slowFrom = 0): number {
  return Array.from({ length: requests }, (_, index) => index).filter((index) => {
    share.deposit();
    const isHedged = index >= slowFrom && share.isAvailable;
    if (isHedged) share.withdraw();
    return isHedged;
  }).length;
}

describe('HedgeShare', () => {
  it('grants none before the first request', () => {
    expect(new HedgeShare(0.5).isAvailable).toBe(false);
  });

  it('grants a share of the requests when all are slow', () => {
    expect(countHedges(new HedgeShare(0.02), 5_000)).toBe(100);
  });

  it('saves up few hedges while none is wanted', () => {
    expect(countHedges(new HedgeShare(0.02), 5_000, 4_999)).toBe(1);
    expect(countHedges(new HedgeShare(0.02), 5_010, 5_000)).toBe(5);
  });

  it('never exceeds the share, for any number of requests and any moments of slowness', () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 0.5, noNaN: true }),
        fc.array(fc.boolean(), { maxLength: 2_000 }),
        (ratio, slow) => {
          const share = new HedgeShare(ratio);
          const hedges = slow.filter((isSlow) => {
            share.deposit();
            const isHedged = isSlow && share.isAvailable;
            if (isHedged) share.withdraw();
            return isHedged;
          });
          expect(hedges.length).toBeLessThanOrEqual(ratio * slow.length + 1e-6);
        },
      ),
    );
  });
});
