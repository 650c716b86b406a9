import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import createTargetEntry from './createTargetEntry.js';
import type { TargetNotices } from './createTargetNotices.js';
import createTargetNotices from './createTargetNotices.js';

describe('TargetAdmission', () => {
  let clock: ManualClock;
  let notices: TargetNotices;

  beforeEach(() => {
    clock = new ManualClock();
    notices = createTargetNotices(clock);
  });

  const first = createTargetEntry('t', { bornAt: 1 });
  const next = createTargetEntry('t', { bornAt: 2 });

  describe('of a target that is leaving', () => {
    beforeEach(() => {
      notices.leavingTargets.record({ target: 't', bornAt: 1 }, 'own');
    });

    it('is denied as long as its process is known, also when its entry returns', async () => {
      await clock.advance(600_000);
      const returned = createTargetEntry('t', { bornAt: 1, sequence: 99 });
      expect(notices.admission.denialOf(returned)).toEqual({ kind: 'leaving' });
    });

    it('is given again to its next process, and not taken back by an old report', () => {
      expect(notices.admission.denialOf(next)).toBeUndefined();
      notices.leavingTargets.record({ target: 't', bornAt: 0 }, 'a');
      expect(notices.admission.denialOf(next)).toBeUndefined();
    });

    it('is told to peers for a while, and is news once', async () => {
      expect(notices.leavingTargets.record({ target: 't', bornAt: 1 }, 'a')).toBe(false);
      expect(notices.leavingTargets.reports()).toEqual([{ target: 't', bornAt: 1 }]);
      await clock.advance(31_000);
      expect(notices.leavingTargets.reports()).toEqual([]);
    });
  });

  describe('of a target that asked for a backoff', () => {
    beforeEach(() => notices.backoffs.record('t', 1, 2_000));

    it('is denied until its end', async () => {
      await clock.advance(1_990);
      expect(notices.admission.denialOf(first)).toEqual({ kind: 'backing-off', until: 2_000 });
      await clock.advance(10);
      expect(notices.admission.denialOf(first)).toBeUndefined();
    });

    it('is not given earlier by a shorter one, nor by an answer to an earlier request', async () => {
      notices.backoffs.record('t', 1, 100);
      notices.backoffs.recordTaken('t', 1);
      await clock.advance(1_000);
      expect(notices.admission.denialOf(first)).toMatchObject({ kind: 'backing-off' });
    });

    it('outlives the entry of the target, but not its process', () => {
      notices.backoffs.forget('t');
      expect(notices.admission.denialOf(first)).toMatchObject({ kind: 'backing-off' });
      expect(notices.admission.denialOf(next)).toBeUndefined();
    });

    it('leaves the target unproven until it takes a request', async () => {
      await clock.advance(2_000);
      expect(notices.admission.isUnproven(first)).toBe(true);
      notices.backoffs.recordTaken('t', 1);
      expect(notices.admission.isUnproven(first)).toBe(false);
    });
  });
});
