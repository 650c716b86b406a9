/**
 * Guards against requests that wait for a slow target while others would have answered, and against
 * hedges that run what must run once, exceed the accepted work or leave work behind at a target.
 */
import { beforeEach, describe, expect, it } from 'vitest';
import type { AttemptResult } from '../../connections/TargetAttempt.js';
import type { RequestKind } from '../../state/GatewayConfiguration.js';
import ProxyFixture, { describeOutcome, RESULTS } from './ProxyFixture.js';

const SHARE = 0.02;
/** Usual time of an answer. */
const USUAL_MILLISECONDS = 100;
/** Requests after which the times are known and one hedge is allowed. */
const LEARNED_REQUESTS = 60;
/** A time between the hedge delay and the one after which an attempt stalls. */
const HEDGED_MILLISECONDS = 150;
const FAILURE_MILLISECONDS = 20;

describe('hedged requests', () => {
  let fixture: ProxyFixture;

  let signals: readonly AbortSignal[];

  /** A target that gives the result after a time, unless it is cancelled before. */
  function answerAfter(
    milliseconds: number,
    signal: AbortSignal,
    result: AttemptResult = RESULTS.good,
  ): Promise<AttemptResult> {
    return new Promise((resolve) => {
      fixture.clock.after(milliseconds, () => resolve(result));
      signal.addEventListener('abort', () => resolve({ kind: 'cancelled' }));
    });
  }

  /** Lets the daemon learn the usual times of a kind of request. */
  async function learn(kind: RequestKind, requests = LEARNED_REQUESTS): Promise<void> {
    fixture.script = (_target, signal) => answerAfter(USUAL_MILLISECONDS, signal);
    await Array.from({ length: requests }).reduce<Promise<void>>(async (before) => {
      await before;
      fixture.handle(fixture.createExchange(kind)).catch(() => {});
      await fixture.clock.advance(USUAL_MILLISECONDS);
    }, Promise.resolve());
    fixture.sent = [];
    signals = [];
  }

  /** The targets of a request: each gives its result after its time. */
  function answerEach(...answers: readonly (readonly [number, AttemptResult])[]): void {
    fixture.script = (_target, signal) => {
      const [milliseconds, result] = answers[signals.length] ?? [0, RESULTS.good];
      signals = [...signals, signal];
      return answerAfter(milliseconds, signal, result);
    };
  }

  /** Sends a request; another one gets its answer soon after, which shows that the links work. */
  function send(kind: RequestKind): Promise<string> {
    fixture.clock.after(1, () => fixture.reachability.recordContact('answer'));
    return fixture.handle(fixture.createExchange(kind)).then(describeOutcome);
  }

  /** Sends a request and lets time pass; returns its outcome, if it has one by then. */
  async function sendAndWait(kind: RequestKind, milliseconds: number): Promise<string | undefined> {
    let outcome: string | undefined;
    send(kind).then(
      (value) => {
        outcome = value;
      },
      () => {},
    );
    await fixture.clock.advance(milliseconds);
    return outcome;
  }

  function startSlow(kind: RequestKind, share = SHARE): void {
    beforeEach(async () => {
      fixture = new ProxyFixture({ hedgeShare: share });
      await learn(kind);
    });
  }

  function readHedges(reason: string): number {
    return fixture.counters.valueOf('hedges', reason);
  }

  describe('when the first target is slower than usual', () => {
    startSlow('idempotent');

    it('go to a second target, whose answer counts, and the first attempt is cancelled', async () => {
      answerEach([9_000, RESULTS.good], [USUAL_MILLISECONDS, RESULTS.good]);
      expect(await sendAndWait('idempotent', 250)).toBe('200');
      expect(signals.map(({ aborted }) => aborted)).toEqual([true, false]);
      expect([readHedges('started'), readHedges('won'), readHedges('lost')]).toEqual([1, 1, 0]);
    });

    it('occupy a slot of each target until the attempt there has ended', async () => {
      answerEach([9_000, RESULTS.good], [USUAL_MILLISECONDS, RESULTS.good]);
      expect(await sendAndWait('idempotent', HEDGED_MILLISECONDS)).toBeUndefined();
      expect(Object.values(fixture.outstanding.listOwn())).toEqual([1, 1]);
      await fixture.clock.advance(USUAL_MILLISECONDS);
      expect(fixture.outstanding.listOwn()).toEqual({});
    });

    it('keep the slot of a cancelled attempt occupied while it goes on', async () => {
      let endFirst = () => {};
      fixture.script = (_target, signal) => {
        signals = [...signals, signal];
        if (signals.length > 1) return answerAfter(USUAL_MILLISECONDS, signal);
        return new Promise((resolve) => {
          endFirst = () => resolve({ kind: 'cancelled' });
        });
      };
      expect(await sendAndWait('idempotent', 250)).toBe('200');
      expect(signals[0]!.aborted).toBe(true);
      expect(Object.values(fixture.outstanding.listOwn())).toEqual([1]);
      endFirst();
      await fixture.clock.advance(1);
      expect(fixture.outstanding.listOwn()).toEqual({});
    });

    it('use the answer of the first target if it comes first', async () => {
      answerEach([HEDGED_MILLISECONDS, RESULTS.good], [9_000, RESULTS.good]);
      expect(await sendAndWait('idempotent', HEDGED_MILLISECONDS + 10)).toBe('200');
      expect(signals.map(({ aborted }) => aborted)).toEqual([false, true]);
      expect(readHedges('lost')).toBe(1);
    });

    it('use the good answer when the other attempt fails before it', async () => {
      answerEach([200, RESULTS.good], [FAILURE_MILLISECONDS, RESULTS.failed]);
      expect(await sendAndWait('idempotent', 250)).toBe('200');
      expect(readHedges('lost')).toBe(1);
    });

    it('end like a request without a hedge when both attempts fail', async () => {
      answerEach([200, RESULTS.failed], [FAILURE_MILLISECONDS, RESULTS.broken]);
      expect(await sendAndWait('idempotent', 250)).toBe('500');
      expect(fixture.sent).toHaveLength(2);
      expect(readHedges('both-failed')).toBe(1);
    });

    it('are not sent beyond the share, and a stall is hedged as without it', async () => {
      answerEach(...Array.from({ length: 4 }, () => [9_000, RESULTS.good] as const));
      await sendAndWait('idempotent', HEDGED_MILLISECONDS);
      expect(fixture.sent).toHaveLength(2);
      await sendAndWait('idempotent', HEDGED_MILLISECONDS);
      expect(fixture.sent).toHaveLength(3);
      expect(fixture.counters.valueOf('hedges_denied', 'share-spent')).toBe(1);
      await fixture.clock.advance(400);
      expect(fixture.sent).toHaveLength(4);
    });

    it('wait while no target was heard since the request was sent', async () => {
      answerEach([9_000, RESULTS.good], [USUAL_MILLISECONDS, RESULTS.good]);
      await fixture.clock.advance(1);
      fixture.handle(fixture.createExchange('idempotent')).catch(() => {});
      await fixture.clock.advance(HEDGED_MILLISECONDS);
      expect(fixture.sent).toHaveLength(1);
      expect(fixture.counters.valueOf('hedges_denied', 'links-in-doubt')).toBe(1);
    });

    it('wait while most slots of the service are taken', async () => {
      answerEach([9_000, RESULTS.good], [USUAL_MILLISECONDS, RESULTS.good]);
      Array.from({ length: 8 }, (_, index) => `t${index}`).forEach((target) =>
        fixture.outstanding.setPeerCount('m', target, 2),
      );
      await sendAndWait('idempotent', HEDGED_MILLISECONDS);
      expect(fixture.sent).toHaveLength(1);
      expect(fixture.counters.valueOf('hedges_denied', 'short-of-room')).toBe(1);
    });
  });

  describe('of other kinds', () => {
    (['non-idempotent', 'upload', 'download'] as const).forEach((kind) => {
      describe(kind, () => {
        startSlow(kind);

        it('are not sent', async () => {
          answerEach([9_000, RESULTS.good]);
          await sendAndWait(kind, HEDGED_MILLISECONDS);
          expect(fixture.sent).toHaveLength(1);
        });
      });
    });
  });

  describe('with a share of 0', () => {
    startSlow('idempotent', 0);

    it('are sent only after a stall', async () => {
      answerEach([9_000, RESULTS.good], [USUAL_MILLISECONDS, RESULTS.good]);
      await sendAndWait('idempotent', 299);
      expect(fixture.sent).toHaveLength(1);
      await fixture.clock.advance(300);
      expect(fixture.sent).toHaveLength(2);
      expect(readHedges('started')).toBe(0);
    });
  });

  describe('over many requests, all of which are slow', () => {
    it('stay within the share', async () => {
      fixture = new ProxyFixture({ hedgeShare: SHARE });
      await learn('idempotent', 300);
      fixture.script = (_target, signal) => answerAfter(HEDGED_MILLISECONDS, signal);
      await Array.from({ length: 300 }).reduce<Promise<void>>(async (before) => {
        await before;
        await sendAndWait('idempotent', HEDGED_MILLISECONDS * 2);
      }, Promise.resolve());
      expect(readHedges('started')).toBeGreaterThan(0);
      expect(readHedges('started')).toBeLessThanOrEqual(600 * SHARE);
    });
  });
});
