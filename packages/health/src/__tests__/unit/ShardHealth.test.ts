import { beforeEach, describe, expect, it } from 'vitest';
import type { ObservedResult } from '@cactusrun/core';
import { Counters, ManualClock, silentLogger } from '@cactusrun/core';
import ShardHealth from '../../ShardHealth.js';

const TARGETS = ['t0', 't1', 't2', 't3', 't4'];
const WORK_MILLISECONDS = 50;

describe('ShardHealth', () => {
  let clock: ManualClock;
  let health: ShardHealth;
  let ejected: Set<string>;

  beforeEach(async () => {
    clock = new ManualClock();
    ejected = new Set();
    health = new ShardHealth({
      service: 's',
      targets: TARGETS,
      caution: 'balanced',
      clock,
      counters: new Counters(),
      logger: silentLogger,
      isEjected: (target) => ejected.has(target),
    });
    await clock.advance(6_000);
    await runRounds(20, {});
  });

  /** One request to each target; those named end in another way or take another time. */
  async function runRound(
    unlike: Readonly<Record<string, { result?: ObservedResult; milliseconds?: number }>>,
    zone = 'zone-a',
  ): Promise<void> {
    TARGETS.forEach((target) => {
      const { result = 'answered', milliseconds = WORK_MILLISECONDS } = unlike[target] ?? {};
      const observation = health.started(target, zone);
      observation.sentOn('new');
      clock.after(milliseconds, () => observation.finish(result));
    });
    await clock.advance(WORK_MILLISECONDS);
  }

  async function runRounds(count: number, unlike: Parameters<typeof runRound>[0], zone?: string) {
    await Array.from({ length: count }).reduce<Promise<void>>(
      (before) => before.then(() => runRound(unlike, zone)),
      Promise.resolve(),
    );
  }

  const standings = (zone = 'zone-a') => TARGETS.map((target) => health.standing(target, zone));
  const PREFERRED = TARGETS.map(() => 'preferred');
  const FIRST_SUSPECT = ['suspect', ...PREFERRED.slice(1)];

  describe('a target that does worse than its peers', () => {
    const cases = [
      { name: 'stalls', unlike: { milliseconds: 2_000, result: 'timeout' as const }, rounds: 20 },
      { name: 'is slow', unlike: { milliseconds: 400 }, rounds: 20 },
      { name: 'fails', unlike: { result: 'error-status' as const }, rounds: 6 },
      { name: 'breaks connections', unlike: { result: 'broken' as const }, rounds: 6 },
    ];

    it.each(cases)('is steered around when it $name', async ({ unlike, rounds }) => {
      await runRounds(rounds, { t0: unlike });
      expect(standings()).toEqual(FIRST_SUSPECT);
      expect(health.explain('t0')).toMatchObject({ standing: 'suspect', reason: 'evidence' });
    });

    it('becomes a candidate for ejection when the evidence goes on', async () => {
      await runRounds(20, { t0: { result: 'error-status' } });
      expect(health.ejectionCandidates()).toEqual(['t0']);
    });

    it('returns by trials, without anybody, and is held longer when it flaps', async () => {
      await runRounds(8, { t0: { result: 'error-status' } });
      expect(health.isTrialDue('t0')).toBe(false);
      await clock.advance(600);
      expect(health.isTrialDue('t0')).toBe(true);
      expect(health.isTrialDue('t0')).toBe(false);
      await runRounds(40, {});
      expect(standings()).toEqual(PREFERRED);
      await runRounds(8, { t0: { result: 'error-status' } });
      expect(health.flapsOf('t0')).toBe(1);
      await clock.advance(600);
      expect(health.isTrialDue('t0')).toBe(false);
      await clock.advance(600);
      expect(health.isTrialDue('t0')).toBe(true);
    });

    it('stands as ejected while its share is held', () => {
      ejected.add('t0');
      expect(health.standing('t0', 'zone-a')).toBe('ejected');
      expect(health.explain('t0')?.reason).toBe('ejected');
    });
  });

  describe('what accuses nobody', () => {
    const all = (unlike: { result?: ObservedResult; milliseconds?: number }) =>
      Object.fromEntries(TARGETS.map((target) => [target, unlike]));

    const cases = [
      { name: 'a slow link', unlike: all({ milliseconds: 300 }) },
      { name: 'errors everywhere', unlike: all({ result: 'error-status' as const }) },
      {
        name: 'every target stalls',
        unlike: all({ milliseconds: 2_000, result: 'timeout' as const }),
      },
      { name: 'one target sheds', unlike: { t0: { result: 'shed' as const } } },
      { name: 'cancelled requests', unlike: { t0: { result: 'cancelled' as const } } },
      { name: 'one error', unlike: {} },
    ];

    it.each(cases)('$name', async ({ unlike }) => {
      await runRound({ t0: { result: 'error-status' } });
      await runRounds(30, unlike);
      await clock.advance(3_000);
      expect(health.ejectionCandidates()).toEqual([]);
      expect(standings()).toEqual(PREFERRED);
    });
  });

  describe('a target that serves some callers only', () => {
    it('is steered around for those callers and for no others', async () => {
      await Array.from({ length: 25 }).reduce<Promise<void>>(async (before) => {
        await before;
        await runRound({ t0: { milliseconds: 2_000, result: 'timeout' } }, 'zone-b');
        await runRound({}, 'zone-a');
      }, Promise.resolve());
      expect(standings('zone-b')).toEqual(FIRST_SUSPECT);
      expect(standings('zone-a')).toEqual(PREFERRED);
      expect(health.ejectionCandidates()).toEqual([]);
      expect(health.explain('t0')?.callerZones).toEqual(['zone-b']);
    });
  });

  describe('a target that was broken and starts again', () => {
    it('is spared while no connection can be made, and its cold start is forgiven', async () => {
      health.started('t0', 'zone-a').finish('connect-failed');
      expect(health.standing('t0', 'zone-a')).toBe('suspect');
      expect(health.explain('t0')?.reason).toBe('no-connection');
      await clock.advance(300);
      expect(health.standing('t0', 'zone-a')).toBe('preferred');
      await runRounds(15, { t0: { milliseconds: 250 } });
      expect(standings()).toEqual(PREFERRED);
    });

    it('is forgiven what a request did that breaks whatever runs it', async () => {
      await runRounds(8, { t0: { result: 'broken' } });
      health.forgive('t0');
      expect(standings()).toEqual(PREFERRED);
    });
  });

  describe('silence on a connection that worked before', () => {
    it('weighs less than on a new one', async () => {
      const silence = (connection: 'new' | 'reused') => {
        const observation = health.started('t0', 'zone-a');
        observation.sentOn(connection);
        return observation;
      };
      silence('reused');
      await clock.advance(400);
      const reused = health.explain('t0')!.score;
      health.forgive('t0');
      silence('new');
      await clock.advance(400);
      expect(reused).toBeGreaterThan(0);
      expect(health.explain('t0')!.score).toBeGreaterThan(reused);
    });
  });

  it('doubts itself when most targets fail', async () => {
    const failing = { result: 'error-status' as const };
    await runRounds(10, { t0: failing, t1: failing, t2: failing, t3: failing });
    expect(health.isDoubtful).toBe(true);
    expect(health.ejectionCandidates()).toEqual([]);
  });
});
