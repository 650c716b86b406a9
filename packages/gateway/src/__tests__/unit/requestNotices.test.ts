import { beforeEach, describe, expect, it } from 'vitest';
import type { AttemptResult } from '../../connections/TargetAttempt.js';
import { NOTHING_STATED } from '../../state/TargetStatement.js';
import ProxyFixture, { answer, describeOutcome, RESULTS } from './ProxyFixture.js';

const BACKOFF_MILLISECONDS = 3_000;
const LEAVING = answer(200, true, true, { isLeaving: true });
const BACKING_OFF: AttemptResult = {
  kind: 'not-run',
  reason: 'full',
  stated: { ...NOTHING_STATED, backoffMilliseconds: BACKOFF_MILLISECONDS },
};

describe.each([
  ['is leaving', LEAVING, 'no-target'],
  ['is to be left alone for a time', BACKING_OFF, 'backing-off'],
] as const)('RequestProxy, once a target has stated that it %s', (_name, notice, refusal) => {
  let fixture: ProxyFixture;
  /** Targets that received requests after all had had the occasion to state it, in order. */
  let receivers: string[];

  beforeEach(() => {
    fixture = new ProxyFixture();
    receivers = [];
  });

  /** Each target answers requests; those that match state it. */
  async function learn(states: (target: string) => boolean): Promise<void> {
    fixture.script = async (target) => (states(target) ? notice : RESULTS.good);
    await Promise.all(
      Array.from({ length: 60 }, () => fixture.handle(fixture.createExchange('non-idempotent'))),
    );
    fixture.sent = [];
  }

  function answerWith(result: () => Promise<AttemptResult>): void {
    fixture.script = (target) => {
      receivers.push(target);
      return result();
    };
  }

  const isNoticed = (target: string) => target !== 't3';

  it('sends first attempts to the others', async () => {
    await learn(isNoticed);
    answerWith(async () => RESULTS.good);
    const outcomes = await Promise.all(
      Array.from({ length: 6 }, () => fixture.handle(fixture.createExchange('non-idempotent'))),
    );
    expect(outcomes.map(describeOutcome)).toEqual(Array.from({ length: 6 }, () => '200'));
    expect(receivers.filter(isNoticed)).toEqual([]);
  });

  it('sends it no retries', async () => {
    await learn(isNoticed);
    answerWith(async () => RESULTS.failed);
    await fixture.handle(fixture.createExchange('idempotent'));
    expect(receivers).toEqual(['t3']);
  });

  it('sends it no hedged requests', async () => {
    await learn(isNoticed);
    answerWith(() => new Promise(() => {}));
    fixture.handle(fixture.createExchange('idempotent')).catch(() => {});
    await fixture.clock.advance(700);
    expect(receivers).toEqual(['t3']);
  });

  it('sends it nothing when no other target can be reached', async () => {
    await learn(isNoticed);
    answerWith(async () => RESULTS.unreached);
    await fixture.handle(fixture.createExchange('idempotent'));
    expect(receivers.filter(isNoticed)).toEqual([]);
  });

  it('refuses requests at once when all have', async () => {
    await learn(() => true);
    const outcome = await fixture.handle(fixture.createExchange('non-idempotent'));
    expect(describeOutcome(outcome)).toBe(refusal);
    expect(fixture.sent).toEqual([]);
  });
});

describe('RequestProxy, when all targets asked it to back off', () => {
  it('says when the first of them is free again, and uses it then', async () => {
    const fixture = new ProxyFixture();
    fixture.script = async () => BACKING_OFF;
    await Promise.all(
      Array.from({ length: 60 }, () => fixture.handle(fixture.createExchange('non-idempotent'))),
    );
    await fixture.clock.advance(1_000);
    const outcome = await fixture.handle(fixture.createExchange('non-idempotent'));
    expect(outcome).toMatchObject({ freeInMilliseconds: BACKOFF_MILLISECONDS - 1_000 });
    await fixture.clock.advance(BACKOFF_MILLISECONDS - 1_000);
    fixture.script = async () => RESULTS.good;
    const later = await fixture.handle(fixture.createExchange('non-idempotent'));
    expect(describeOutcome(later)).toBe('200');
  });

  it('retries a request that was turned away where no target asked for a backoff lately', async () => {
    const fixture = new ProxyFixture();
    const isWell = (target: string) => target === 't3';
    fixture.script = async (target) => (isWell(target) ? RESULTS.good : BACKING_OFF);
    await Promise.all(
      Array.from({ length: 24 }, () => fixture.handle(fixture.createExchange('non-idempotent'))),
    );
    await fixture.clock.advance(BACKOFF_MILLISECONDS + 100);
    const outcomes = [await fixture.handle(fixture.createExchange('non-idempotent'))];
    outcomes.push(await fixture.handle(fixture.createExchange('non-idempotent')));
    expect(outcomes.map(describeOutcome)).toEqual(['200', '200']);
  });
});
