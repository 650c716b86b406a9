import { beforeEach, describe, expect, it } from 'vitest';
import type { CallerOutcome } from '../../callers/CallerExchange.js';
import type { RelayResult } from '../../relay/PeerRelay.js';
import { connectAtOnce, connectNever, refuseAtOnce } from './createReachability.js';
import ProxyFixture, { answer, describeOutcome, RESULTS } from './ProxyFixture.js';

const ANSWERED = answer(200) as Extract<RelayResult, { kind: 'answered' }>;
const FROM_PEER = { attemptsMade: 0, configurationVersion: 1 };

describe('RequestProxy of a daemon that is cut off from all targets', () => {
  let fixture: ProxyFixture;

  beforeEach(() => {
    fixture = new ProxyFixture();
    fixture.relayResult = ANSWERED;
  });

  /** A failed connection raises a doubt, and the check finds no target. */
  async function cutOff(): Promise<void> {
    fixture.openProbe = refuseAtOnce;
    fixture.reachability.confirmFailure('connection', () => {});
    await fixture.clock.advance(200);
    expect(fixture.reachability.isCutOff).toBe(true);
  }

  describe('relays a request', () => {
    it('at once, without an attempt of its own', async () => {
      await cutOff();
      const outcome = await fixture.handle(fixture.createExchange('non-idempotent'));
      expect(describeOutcome(outcome)).toBe('200');
      expect(fixture.sent).toEqual([]);
      expect(fixture.relayed).toMatchObject([{ kind: 'once', statement: FROM_PEER }]);
    });

    it('after two connections that timed out, before it knows that it is cut off', async () => {
      fixture.openProbe = connectNever;
      fixture.script = async () => {
        await fixture.clock.sleep(150);
        return RESULTS.unreached;
      };
      const handled = fixture.handle(fixture.createExchange('non-idempotent'));
      await fixture.clock.advance(160);
      await fixture.clock.advance(160);
      expect(describeOutcome(await handled)).toBe('200');
      expect([fixture.sent.length, fixture.relayed.length]).toEqual([2, 1]);
    });

    it('after eight connections that were refused at once, before it knows', async () => {
      fixture.script = async () => RESULTS.unreached;
      const outcome = await fixture.handle(fixture.createExchange('non-idempotent'));
      expect(describeOutcome(outcome)).toBe('200');
      expect([fixture.sent.length, fixture.relayed.length]).toEqual([8, 1]);
    });

    it('that may have run only if it is idempotent, with the attempts made so far', async () => {
      const interrupt = async (kind: 'idempotent' | 'non-idempotent'): Promise<CallerOutcome> => {
        fixture.script = async () => {
          await cutOff();
          return RESULTS.broken;
        };
        return fixture.handle(fixture.createExchange(kind));
      };
      expect(describeOutcome(await interrupt('idempotent'))).toBe('200');
      expect(fixture.relayed).toMatchObject([{ statement: { attemptsMade: 1 } }]);
      fixture.openProbe = connectAtOnce;
      await fixture.clock.advance(1_000);
      fixture.reachability.recordContact('connection');
      expect(describeOutcome(await interrupt('non-idempotent'))).toBe('connection-broke');
      expect(fixture.relayed).toHaveLength(1);
    });

    it('that is under way, if it is idempotent, as soon as it knows that it is cut off', async () => {
      fixture.script = (_target, signal) =>
        new Promise((resolve) => {
          signal.addEventListener('abort', () => resolve({ kind: 'cancelled' }));
        });
      const handled = fixture.handle(fixture.createExchange('idempotent'));
      await cutOff();
      expect(describeOutcome(await handled)).toBe('200');
    });
  });

  describe('tells its caller', () => {
    const CASES: readonly (readonly [RelayResult, string])[] = [
      [{ kind: 'refused', reason: 'overloaded' }, 'overloaded'],
      [{ kind: 'no-peer' }, 'unreachable'],
      [{ kind: 'broken', detail: 'reset' }, 'connection-broke'],
      [{ kind: 'timeout' }, 'timeout'],
      [{ kind: 'cancelled' }, 'cancelled'],
    ];

    it.each(CASES)(
      '%o as %s, without a second relay of what must run once',
      async (result, told) => {
        await cutOff();
        fixture.relayResult = result;
        const outcome = await fixture.handle(fixture.createExchange('non-idempotent'));
        expect(describeOutcome(outcome)).toBe(told);
        expect(fixture.relayed).toHaveLength(1);
      },
    );
  });

  describe('does not relay', () => {
    it('an idempotent request more often than its route allows attempts', async () => {
      await cutOff();
      fixture.relayResult = { kind: 'broken', detail: 'reset' };
      const outcome = await fixture.handle(fixture.createExchange('idempotent'));
      expect(describeOutcome(outcome)).toBe('connection-broke');
      expect(fixture.relayed).toHaveLength(2);
    });

    it('a request that a peer has relayed, and refuses it at once', async () => {
      await cutOff();
      const exchange = fixture.createExchange('idempotent', { relayed: FROM_PEER });
      expect(describeOutcome(await fixture.handle(exchange))).toBe('unreachable');
      expect([fixture.sent.length, fixture.relayed.length]).toEqual([0, 0]);
    });

    it('anything without a peer that reaches targets, and refuses it at once', async () => {
      fixture.relayResult = undefined;
      await cutOff();
      const outcome = await fixture.handle(fixture.createExchange('non-idempotent'));
      expect(describeOutcome(outcome)).toBe('unreachable');
      expect(fixture.sent).toEqual([]);
    });

    it('anything while some targets that crashed refuse connections', async () => {
      fixture.answerInTurn(...Array.from({ length: 7 }, () => 'unreached' as const), 'good');
      const outcome = await fixture.handle(fixture.createExchange('non-idempotent'));
      expect(describeOutcome(outcome)).toBe('200');
      expect(fixture.relayed).toEqual([]);
    });
  });
});

describe('RequestProxy of a daemon that lost most targets of a service', () => {
  let fixture: ProxyFixture;

  beforeEach(() => {
    fixture = new ProxyFixture();
    fixture.relayResult = ANSWERED;
    ['t0', 't1', 't2', 't3', 't4', 't5'].forEach((target) => {
      fixture.lostTargets.recordFailure(target);
      fixture.lostTargets.recordPeerAnswer(target);
    });
  });

  it('has a peer send a request of that service', async () => {
    const outcome = await fixture.handle(fixture.createExchange('non-idempotent'));
    expect(describeOutcome(outcome)).toBe('200');
    expect([fixture.sent.length, fixture.relayed.length]).toEqual([0, 1]);
  });

  it('uses the targets that are left when no peer takes the request', async () => {
    fixture.relayResult = { kind: 'no-peer' };
    const outcome = await fixture.handle(fixture.createExchange('non-idempotent'));
    expect(describeOutcome(outcome)).toBe('200');
    expect([fixture.sent.length, fixture.relayed.length]).toEqual([1, 1]);
  });

  it('refuses what a peer relays, so that the peer asks another one', async () => {
    const exchange = fixture.createExchange('non-idempotent', { relayed: FROM_PEER });
    expect(describeOutcome(await fixture.handle(exchange))).toBe('unreachable');
    expect(fixture.sent).toEqual([]);
  });
});

describe('RequestProxy of the peer', () => {
  let fixture: ProxyFixture;

  beforeEach(() => {
    fixture = new ProxyFixture();
  });

  it('refuses a relayed request while its configuration is older', async () => {
    const relayed = { attemptsMade: 0, configurationVersion: 2 };
    const outcome = await fixture.handle(fixture.createExchange('idempotent', { relayed }));
    expect(describeOutcome(outcome)).toBe('no-configuration');
  });

  it('counts the attempts that were made before', async () => {
    fixture.answerInTurn('failed', 'good');
    const relayed = { attemptsMade: 1, configurationVersion: 1 };
    const outcome = await fixture.handle(fixture.createExchange('idempotent', { relayed }));
    expect(describeOutcome(outcome)).toBe('500');
    expect(fixture.sent).toMatchObject([{ isRetry: true }]);
  });
});
