import { beforeEach, describe, expect, it } from 'vitest';
import type { ObservedResult } from '@cactusrun/core';
import { Counters, ManualClock, silentLogger } from '@cactusrun/core';
import ShardHealth from '../../ShardHealth.js';

const TARGETS = ['t0', 't1', 't2', 't3', 't4'];
const ANSWER_MILLISECONDS = 50;

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

  /** Sends one request to each target; the exceptions give another result or duration. */
  async function runRound(
    exceptions: Readonly<Record<string, { result?: ObservedResult; milliseconds?: number }>>,
    zone = 'zone-a',
  ): Promise<void> {
    TARGETS.forEach((target) => {
      const { result = 'answered', milliseconds = ANSWER_MILLISECONDS } = exceptions[target] ?? {};
      const observation = health.observeAttempt(target, zone);
      observation.sentOn('new');
      clock.after(milliseconds, () => observation.finish(result));
    });
    await clock.advance(ANSWER_MILLISECONDS);
  }

  async function runRounds(
    count: number,
    exceptions: Parameters<typeof runRound>[0],
    zone?: string,
  ) {
    await Array.from({ length: count }).reduce<Promise<void>>(
      (before) => before.then(() => runRound(exceptions, zone)),
      Promise.resolve(),
    );
  }

  const states = (zone = 'zone-a') => TARGETS.map((target) => health.stateOf(target, zone));
  const ALL_PREFERRED = TARGETS.map(() => 'preferred');
  const FIRST_IS_SUSPECT = ['suspect', ...ALL_PREFERRED.slice(1)];

  describe('a target that is worse than its peers', () => {
    const cases = [
      {
        name: 'stalls',
        exceptions: { milliseconds: 2_000, result: 'timeout' as const },
        rounds: 20,
      },
      { name: 'is slow', exceptions: { milliseconds: 400 }, rounds: 20 },
      { name: 'fails', exceptions: { result: 'error-status' as const }, rounds: 6 },
      { name: 'breaks connections', exceptions: { result: 'broken' as const }, rounds: 6 },
    ];

    it.each(cases)('is deprioritized when it $name', async ({ exceptions, rounds }) => {
      await runRounds(rounds, { t0: exceptions });
      expect(states()).toEqual(FIRST_IS_SUSPECT);
      expect(health.explain('t0')).toMatchObject({ state: 'suspect', reason: 'evidence' });
    });

    it('becomes an ejection candidate when the evidence continues', async () => {
      await runRounds(20, { t0: { result: 'error-status' } });
      expect(health.ejectionCandidates()).toEqual(['t0']);
    });

    it('is restored by trial requests, which are delayed longer when it flaps', async () => {
      await runRounds(8, { t0: { result: 'error-status' } });
      expect(health.isTrialDue('t0')).toBe(false);
      await clock.advance(600);
      expect(health.isTrialDue('t0')).toBe(true);
      expect(health.isTrialDue('t0')).toBe(false);
      await runRounds(40, {});
      expect(states()).toEqual(ALL_PREFERRED);
      await runRounds(8, { t0: { result: 'error-status' } });
      expect(health.flapCount('t0')).toBe(1);
      await clock.advance(600);
      expect(health.isTrialDue('t0')).toBe(false);
      await clock.advance(600);
      expect(health.isTrialDue('t0')).toBe(true);
    });

    it('is ejected while its lease is held', () => {
      ejected.add('t0');
      expect(health.stateOf('t0', 'zone-a')).toBe('ejected');
      expect(health.explain('t0')?.reason).toBe('ejected');
    });
  });

  describe('conditions that make no target unhealthy', () => {
    const all = (exceptions: { result?: ObservedResult; milliseconds?: number }) =>
      Object.fromEntries(TARGETS.map((target) => [target, exceptions]));

    const cases = [
      { name: 'a slow link', exceptions: all({ milliseconds: 300 }) },
      { name: 'errors of all targets', exceptions: all({ result: 'error-status' as const }) },
      {
        name: 'all targets stall',
        exceptions: all({ milliseconds: 2_000, result: 'timeout' as const }),
      },
      { name: 'one target sheds', exceptions: { t0: { result: 'shed' as const } } },
      { name: 'cancelled requests', exceptions: { t0: { result: 'cancelled' as const } } },
      { name: 'one error', exceptions: {} },
    ];

    it.each(cases)('$name', async ({ exceptions }) => {
      await runRound({ t0: { result: 'error-status' } });
      await runRounds(30, exceptions);
      await clock.advance(3_000);
      expect(health.ejectionCandidates()).toEqual([]);
      expect(states()).toEqual(ALL_PREFERRED);
    });
  });

  describe('a target that serves only some callers', () => {
    it('is deprioritized for the callers that it fails and for no others', async () => {
      await Array.from({ length: 25 }).reduce<Promise<void>>(async (before) => {
        await before;
        await runRound({ t0: { milliseconds: 2_000, result: 'timeout' } }, 'zone-b');
        await runRound({}, 'zone-a');
      }, Promise.resolve());
      expect(states('zone-b')).toEqual(FIRST_IS_SUSPECT);
      expect(states('zone-a')).toEqual(ALL_PREFERRED);
      expect(health.ejectionCandidates()).toEqual([]);
      expect(health.explain('t0')?.callerZones).toEqual(['zone-b']);
    });
  });

  describe('a target that crashed and restarts', () => {
    it('is suspect while connections fail, but not for slow answers of its cold start', async () => {
      health.observeAttempt('t0', 'zone-a').finish('connect-failed');
      expect(health.stateOf('t0', 'zone-a')).toBe('suspect');
      expect(health.explain('t0')?.reason).toBe('no-connection');
      await clock.advance(300);
      expect(health.stateOf('t0', 'zone-a')).toBe('preferred');
      await runRounds(15, { t0: { milliseconds: 250 } });
      expect(states()).toEqual(ALL_PREFERRED);
    });

    it('is preferred again when its evidence is cleared after a poison request', async () => {
      await runRounds(8, { t0: { result: 'broken' } });
      health.clearEvidence('t0');
      expect(states()).toEqual(ALL_PREFERRED);
    });
  });

  describe('a missing answer on a reused connection', () => {
    it('is weaker evidence than on a new connection', async () => {
      const sendUnanswered = (connection: 'new' | 'reused') => {
        const observation = health.observeAttempt('t0', 'zone-a');
        observation.sentOn(connection);
        return observation;
      };
      sendUnanswered('reused');
      await clock.advance(400);
      const reused = health.explain('t0')!.score;
      health.clearEvidence('t0');
      sendUnanswered('new');
      await clock.advance(400);
      expect(reused).toBeGreaterThan(0);
      expect(health.explain('t0')!.score).toBeGreaterThan(reused);
    });
  });

  it('is doubtful when most targets fail', async () => {
    const failing = { result: 'error-status' as const };
    await runRounds(10, { t0: failing, t1: failing, t2: failing, t3: failing });
    expect(health.isDoubtful).toBe(true);
    expect(health.ejectionCandidates()).toEqual([]);
  });
});
