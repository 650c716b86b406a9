import { createRandom, ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import RetryBudgetShare from '../../execution/RetryBudgetShare.js';

const LIMITS = { ratio: 0.2, fixedRetries: 58, windowMilliseconds: 10_000, regions: 2 };

describe('RetryBudgetShare', () => {
  let clock: ManualClock;

  beforeEach(() => {
    clock = new ManualClock();
  });

  /** Makes two retries, if allowed, after each request; returns the number of retries. */
  function spend(share: RetryBudgetShare, requests: number): number {
    return Array.from({ length: requests }).reduce<number>((spent) => {
      share.deposit();
      return spent + Number(share.withdraw()) + Number(share.withdraw());
    }, 0);
  }

  /** A region whose daemons report their attempts to each other and retry as often as allowed. */
  function createRegion(members: number): readonly (() => number)[] {
    const daemons = Array.from(
      { length: members },
      () => new RetryBudgetShare(LIMITS, () => members * LIMITS.regions, clock),
    );
    const report = (from: RetryBudgetShare, isRetry: boolean) =>
      daemons.filter((peer) => peer !== from).forEach((peer) => peer.recordPeerAttempt(isRetry));
    const retry = (daemon: RetryBudgetShare): number => {
      if (!daemon.withdraw()) return 0;
      report(daemon, true);
      return 1;
    };
    return daemons.map((daemon) => () => {
      daemon.deposit();
      report(daemon, false);
      return retry(daemon) + retry(daemon) + retry(daemon);
    });
  }

  describe('a fleet that retries as often as allowed without reports from peers', () => {
    [2, 36, 58].forEach((members) => {
      it(`stays within the budget with ${members} members under uneven load`, () => {
        const random = createRandom(members);
        const daemons = Array.from(
          { length: members },
          () => new RetryBudgetShare(LIMITS, () => members, clock),
        );
        const loads = daemons.map(() => random.below(30));
        const requests = loads.reduce((sum, load) => sum + load, 0);
        const spent = daemons.reduce((sum, daemon, index) => sum + spend(daemon, loads[index]!), 0);
        expect(spent).toBeLessThanOrEqual(LIMITS.ratio * requests + LIMITS.fixedRetries);
      });
    });
  });

  describe('a region whose daemons report to each other', () => {
    /** Requests and retries of each 100 ms, with all load on 6 of the 18 daemons. */
    function simulate(): readonly (readonly [number, number])[] {
      const random = createRandom(7);
      const region = createRegion(18).slice(0, 6);
      return Array.from({ length: 400 }, () => {
        clock.pause(100);
        const requests = Array.from({ length: 3 }, () => region[random.below(region.length)]!);
        const spent = requests.map((send) => send()).reduce((sum, retries) => sum + retries, 0);
        return [requests.length, spent] as const;
      });
    }

    it('stays within its part of the budget in every window', () => {
      const intervals = simulate();
      intervals.slice(0, -100).forEach((_, from) => {
        const window = intervals.slice(from, from + 100);
        const requests = window.reduce((sum, [count]) => sum + count, 0);
        const retries = window.reduce((sum, [, count]) => sum + count, 0);
        expect(retries).toBeLessThanOrEqual(
          LIMITS.ratio * requests + LIMITS.fixedRetries / LIMITS.regions,
        );
      });
    });

    it('allows one daemon a burst of retries beyond its own share', () => {
      const share = new RetryBudgetShare(LIMITS, () => 36, clock);
      Array.from({ length: 40 }).forEach(() => {
        clock.pause(50);
        share.recordPeerAttempt(false);
        share.deposit();
      });
      const burst = Array.from({ length: 10 }, () => share.withdraw()).filter(Boolean).length;
      expect(burst).toBeGreaterThanOrEqual(4);
    });
  });

  describe('a daemon without reports from peers', () => {
    it('refuses retries once its share is spent, and gains tokens with requests', () => {
      const share = new RetryBudgetShare(LIMITS, () => 36, clock);
      expect(share.withdraw()).toBe(true);
      expect(share.withdraw()).toBe(false);
      Array.from({ length: 5 }).forEach(() => share.deposit());
      expect(share.withdraw()).toBe(true);
    });
  });
});
