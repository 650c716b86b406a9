import { beforeEach, describe, expect, it } from 'vitest';
import type { AttemptResult } from '../../connections/TargetAttempt.js';
import ProxyFixture, { answer, describeOutcome, RESULTS } from './ProxyFixture.js';

describe('RequestProxy', () => {
  let fixture: ProxyFixture;

  beforeEach(() => {
    fixture = new ProxyFixture();
  });

  describe('targets that state a rate limit', () => {
    const LIMITED = answer(200, true, true, { rateLimit: 1 });
    /** Targets that received requests, in order. */
    let receivers: string[];

    /** Each target answers a request, which makes its limit known. */
    async function learnLimits(limited: (target: string) => boolean): Promise<void> {
      fixture.script = async (target) => (limited(target) ? LIMITED : RESULTS.good);
      await Promise.all(
        Array.from({ length: 40 }, () => fixture.handle(fixture.createExchange('idempotent'))),
      );
      fixture.sent = [];
    }

    /** Answers later requests, and records which targets receive them. */
    function answerWith(result: (target: string) => Promise<AttemptResult>): void {
      receivers = [];
      fixture.script = (target) => {
        receivers.push(target);
        return result(target);
      };
    }

    it('are not used beyond it, and their requests go to targets that have room', async () => {
      const isLimited = (target: string) => target < 't7';
      await learnLimits(isLimited);
      answerWith(async (target) => (isLimited(target) ? LIMITED : RESULTS.good));
      const outcomes = await Promise.all(
        Array.from({ length: 6 }, () => fixture.handle(fixture.createExchange('non-idempotent'))),
      );
      expect(outcomes.map(describeOutcome)).toEqual(Array.from({ length: 6 }, () => '200'));
      expect(receivers.filter(isLimited)).toEqual([]);
    });

    it('leave requests without room that are refused at once, as not run', async () => {
      await learnLimits(() => true);
      const outcome = await fixture.handle(fixture.createExchange('non-idempotent'));
      expect(describeOutcome(outcome)).toBe('rate-limited');
      expect(fixture.sent).toEqual([]);
    });

    it('are not used beyond it by retries', async () => {
      const isLimited = (target: string) => target !== 't3';
      await learnLimits(isLimited);
      answerWith(async () => RESULTS.failed);
      expect(describeOutcome(await fixture.handle(fixture.createExchange('idempotent')))).toBe(
        '500',
      );
      expect(receivers).toEqual(['t3']);
    });

    it('are not used beyond it by hedged requests', async () => {
      const isLimited = (target: string) => target !== 't3';
      await learnLimits(isLimited);
      answerWith(() => new Promise(() => {}));
      fixture.handle(fixture.createExchange('idempotent')).catch(() => {});
      await fixture.clock.advance(700);
      expect(receivers).toEqual(['t3']);
    });

    it('are not used beyond it when the others cannot be reached', async () => {
      const isLimited = (target: string) => target !== 't3';
      await learnLimits(isLimited);
      answerWith(async () => RESULTS.unreached);
      const outcomes = [await fixture.handle(fixture.createExchange('idempotent'))];
      outcomes.push(await fixture.handle(fixture.createExchange('idempotent')));
      expect(outcomes.map(describeOutcome)).toEqual(['rate-limited', 'rate-limited']);
      expect(receivers.filter(isLimited)).toEqual([]);
    });

    it('are used freely again after an answer without a limit', async () => {
      await learnLimits(() => true);
      await fixture.clock.advance(2_500);
      answerWith(async () => RESULTS.good);
      await Promise.all(
        Array.from({ length: 10 }, () => fixture.handle(fixture.createExchange('non-idempotent'))),
      );
      const next = await Promise.all(
        Array.from({ length: 6 }, () => fixture.handle(fixture.createExchange('non-idempotent'))),
      );
      expect(next.map(describeOutcome)).toEqual(Array.from({ length: 6 }, () => '200'));
    });
  });
});
