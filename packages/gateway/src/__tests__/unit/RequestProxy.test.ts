import { beforeEach, describe, expect, it } from 'vitest';
import type { RequestKind } from '../../state/GatewayConfiguration.js';
import type { ResultName } from './ProxyFixture.js';
import ProxyFixture, { describeOutcome, RESULTS } from './ProxyFixture.js';

describe('RequestProxy', () => {
  let fixture: ProxyFixture;

  beforeEach(() => {
    fixture = new ProxyFixture();
  });

  /** Kind of request, results in turn, outcome, number of attempts. */
  const CASES: readonly (readonly [RequestKind, readonly ResultName[], string, number])[] = [
    ['idempotent', ['good'], '200', 1],
    ['idempotent', ['failed', 'good'], '200', 2],
    ['idempotent', ['failed', 'failed', 'good'], '500', 2],
    ['idempotent', ['broken', 'good'], '200', 2],
    ['idempotent', ['timeout', 'good'], '200', 2],
    ['idempotent', ['unsigned', 'good'], '200', 2],
    ['idempotent', ['broken', 'failed'], '500', 2],
    ['non-idempotent', ['failed', 'good'], '500', 1],
    ['non-idempotent', ['broken', 'good'], 'connection-broke', 1],
    ['non-idempotent', ['timeout', 'good'], 'timeout', 1],
    ['non-idempotent', ['dropped', 'good'], 'connection-broke', 1],
    ['idempotent', ['dropped', 'good'], '200', 2],
    ['non-idempotent', ['unsigned', 'good'], 'unsigned-answer', 1],
    ['non-idempotent', ['full', 'good'], '200', 2],
    ['non-idempotent', ['other', 'good'], '200', 2],
    ['non-idempotent', ['full', 'full', 'good'], 'refused-by-targets', 2],
    ['non-idempotent', ['full', 'broken'], 'connection-broke', 2],
    ['non-idempotent', ['unreached', 'unreached', 'good'], '200', 3],
    ['upload', ['broken', 'good'], 'connection-broke', 1],
    ['upload', ['full', 'good'], '200', 2],
    ['upload', Array.from({ length: 8 }, () => 'unreached' as const), 'unreachable', 8],
  ];

  describe('outcomes', () => {
    CASES.forEach(([kind, results, expected, attempts]) => {
      it(`${kind}: ${results.join(', ')} gives ${expected}`, async () => {
        fixture.answerInTurn(...results);
        const outcome = await fixture.handle(fixture.createExchange(kind));
        expect(describeOutcome(outcome)).toBe(expected);
        expect(fixture.sent).toHaveLength(attempts);
      });
    });
  });

  describe('an answer without a length', () => {
    it.each(['idempotent', 'non-idempotent'] as const)(
      'is the answer to a request that is %s, without another attempt',
      async (kind) => {
        fixture.answerInTurn('unframed', 'good');
        const outcome = await fixture.handle(fixture.createExchange(kind));
        expect(outcome).toMatchObject({ kind: 'answered', answer: { isFramed: false } });
        expect(fixture.sent).toHaveLength(1);
      },
    );
  });

  describe('requests that cannot be served', () => {
    it('are refused without a configuration, after a quarter of their deadline at most', async () => {
      fixture = new ProxyFixture({ hasState: false });
      const outcome = fixture.handle(
        fixture.createExchange('idempotent', { deadlineMilliseconds: 1_000 }),
      );
      await fixture.clock.advance(250);
      expect(describeOutcome(await outcome)).toBe('no-configuration');
    });

    it('are refused at once without a route', async () => {
      const outcome = await fixture.handle(
        fixture.createExchange('idempotent', { path: '/none/x' }),
      );
      expect(describeOutcome(outcome)).toBe('no-route');
    });

    it('are not sent when too little time remains', async () => {
      const exchange = fixture.createExchange('idempotent', { deadlineMilliseconds: 50 });
      expect(describeOutcome(await fixture.handle(exchange))).toBe('too-late');
      expect(fixture.sent).toHaveLength(0);
    });
  });

  describe('a request whose sending fails', () => {
    it('no longer counts as outstanding at its target', async () => {
      fixture.script = async () => {
        throw new Error('invalid header');
      };
      const handled = fixture.handle(fixture.createExchange('non-idempotent'));
      await expect(handled).rejects.toThrow('invalid header');
      expect(fixture.outstanding.listOwn()).toEqual({});
    });
  });

  describe('requests of a daemon that stops', () => {
    it('are refused while they have not been passed on', async () => {
      const exchange = fixture.createExchange('idempotent', { passOn: () => false });
      expect(describeOutcome(await fixture.handle(exchange))).toBe('stopping');
      expect(fixture.sent).toHaveLength(0);
    });

    it('are marked as passed on before a target gets them', async () => {
      const sentBefore: number[] = [];
      const passOn = () => sentBefore.push(fixture.sent.length) > 0;
      await fixture.handle(fixture.createExchange('idempotent', { passOn }));
      expect(sentBefore).toEqual([0]);
      expect(fixture.sent).toHaveLength(1);
    });
  });

  describe('requests that arrive while the daemon starts', () => {
    beforeEach(() => {
      fixture = new ProxyFixture({ hasState: false });
    });

    it('are served once the configuration and the registry are known', async () => {
      fixture.answerInTurn('good');
      const outcome = fixture.handle(fixture.createExchange('non-idempotent'));
      await fixture.clock.advance(200);
      fixture.provideState();
      expect(describeOutcome(await outcome)).toBe('200');
    });

    it('are not sent when their caller has disconnected meanwhile', async () => {
      const caller = new AbortController();
      const outcome = fixture.handle(
        fixture.createExchange('idempotent', { signal: caller.signal }),
      );
      await fixture.clock.advance(200);
      caller.abort();
      fixture.provideState();
      expect(describeOutcome(await outcome)).toBe('cancelled');
      expect(fixture.sent).toHaveLength(0);
    });
  });

  describe('a connection that a target had dropped', () => {
    it('leads to a retry on a new one, and the request is not held back', async () => {
      fixture.answerInTurn('dropped', 'good', 'dropped', 'good', 'dropped', 'good');
      const outcomes = [await fixture.handle(fixture.createExchange('idempotent'))];
      outcomes.push(await fixture.handle(fixture.createExchange('idempotent')));
      outcomes.push(await fixture.handle(fixture.createExchange('idempotent')));
      expect(outcomes.map(describeOutcome)).toEqual(['200', '200', '200']);
      expect(fixture.sent.map(({ needsNewConnection }) => needsNewConnection)).toEqual([
        false,
        true,
        false,
        true,
        false,
        true,
      ]);
    });
  });

  describe('a caller that disconnects while a connection fails', () => {
    it('causes no further attempt', async () => {
      const caller = new AbortController();
      fixture.script = async () => {
        caller.abort();
        return RESULTS.unreached;
      };
      const outcome = await fixture.handle(
        fixture.createExchange('idempotent', { signal: caller.signal }),
      );
      expect(describeOutcome(outcome)).toBe('cancelled');
      expect(fixture.sent).toHaveLength(1);
    });
  });

  describe('deadlines', () => {
    it('are the shorter of the deadline of the caller and the timeout of the route', async () => {
      fixture.answerInTurn('good', 'good');
      await fixture.handle(fixture.createExchange('idempotent', { deadlineMilliseconds: 9_000 }));
      await fixture.handle(fixture.createExchange('idempotent', { deadlineMilliseconds: 900 }));
      expect(fixture.sent.map(({ deadline }) => deadline)).toEqual([2_000, 860]);
    });
  });

  describe('a request that stalls', () => {
    it('is hedged on a second target if it is idempotent, and the first attempt is cancelled', async () => {
      const signals: AbortSignal[] = [];
      fixture.script = (_target, signal) => {
        signals.push(signal);
        return signals.length === 1 ? new Promise(() => {}) : Promise.resolve(RESULTS.good);
      };
      const handled = fixture.handle(fixture.createExchange('idempotent'));
      await fixture.clock.advance(1_200);
      expect(describeOutcome(await handled)).toBe('200');
      expect(signals.map(({ aborted }) => aborted)).toEqual([true, false]);
    });

    it('gets no second attempt if it must run once', async () => {
      fixture.script = () => new Promise(() => {});
      fixture.handle(fixture.createExchange('non-idempotent')).catch(() => {});
      await fixture.clock.advance(1_400);
      expect(fixture.sent).toHaveLength(1);
    });
  });

  describe('a request that crashes the targets that run it', () => {
    it('is held back after the second crash', async () => {
      fixture.answerInTurn('broken', 'broken', 'good');
      await fixture.handle(fixture.createExchange('idempotent'));
      const second = await fixture.handle(fixture.createExchange('idempotent'));
      expect(describeOutcome(second)).toBe('held-back');
      expect(fixture.sent).toHaveLength(2);
    });
  });
});
