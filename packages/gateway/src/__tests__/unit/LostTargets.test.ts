/** Guards against a daemon that lost most targets of one service and crowds those that it reaches. */
import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import type LostTargets from '../../reachability/LostTargets.js';
import createLostTargets from './createLostTargets.js';
import createTargetEntry from './createTargetEntry.js';

describe('LostTargets', () => {
  let clock: ManualClock;
  let lostTargets: LostTargets;
  let reachable: ReadonlySet<string>;
  let tried: string[];

  const entries = ['a', 'b', 'c', 'd'].map((id) => createTargetEntry(id));
  const others = ['x', 'y'].map((id) => createTargetEntry(id, { service: 'other' }));

  beforeEach(() => {
    clock = new ManualClock();
    reachable = new Set();
    tried = [];
    const targets = {
      list: () => [...entries, ...others],
      usable: (service: string) =>
        [...entries, ...others]
          .filter((entry) => entry.service === service)
          .map((entry) => ({ entry })),
    };
    lostTargets = createLostTargets(clock, targets, async ({ id }) => {
      tried.push(id);
      return reachable.has(id);
    });
  });

  function lose(...ids: readonly string[]): void {
    ids.forEach((id) => {
      lostTargets.recordFailure(id);
      lostTargets.recordPeerAnswer(id);
    });
  }

  describe('counts a service as lost', () => {
    it('when more than half of its targets answer peers and not this daemon', () => {
      lose('a', 'b');
      expect(lostTargets.hasLostMost('s')).toBe(false);
      lose('c');
      expect(lostTargets.hasLostMost('s')).toBe(true);
      expect(lostTargets.hasLostMost('other')).toBe(false);
    });

    it('also when the peers were answered shortly before the failure', async () => {
      ['a', 'b', 'c'].forEach((id) => lostTargets.recordPeerAnswer(id));
      await clock.advance(900);
      ['a', 'b', 'c'].forEach((id) => lostTargets.recordFailure(id));
      expect(lostTargets.hasLostMost('s')).toBe(true);
    });
  });

  describe('does not count a service as lost', () => {
    it('when nobody reaches its targets: they have crashed', () => {
      ['a', 'b', 'c', 'd'].forEach((id) => lostTargets.recordFailure(id));
      expect(lostTargets.hasLostMost('s')).toBe(false);
    });

    it('once this daemon reaches its targets again', () => {
      lose('a', 'b', 'c');
      lostTargets.recordReached('a');
      expect(lostTargets.hasLostMost('s')).toBe(false);
    });

    it('when the failures are long ago', async () => {
      lose('a', 'b', 'c');
      await clock.advance(6_000);
      expect(lostTargets.hasLostMost('s')).toBe(false);
    });
  });

  describe('tries lost targets', () => {
    it('one of each service at a time, and counts those that it reaches', async () => {
      lose('a', 'b', 'c', 'x');
      const stop = lostTargets.start();
      reachable = new Set(['a']);
      await clock.advance(500);
      expect(tried).toEqual(['a', 'x']);
      expect(lostTargets.hasLostMost('s')).toBe(false);
      await stop();
    });
  });
});
