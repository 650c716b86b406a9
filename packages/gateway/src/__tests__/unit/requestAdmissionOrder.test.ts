/**
 * Guards against an admission that is decided but not obeyed on the path of a request: sent without
 * it, asked again before a retry, or refused without a time to return.
 */
import { beforeEach, describe, expect, it } from 'vitest';
import type { CallerOutcome } from '../../callers/CallerExchange.js';
import type { AttemptResult } from '../../connections/TargetAttempt.js';
import WorkspaceKeys from '../../workspaces/WorkspaceKeys.js';
import ProxyFixture, { describeOutcome, RESULTS } from './ProxyFixture.js';

/** The fixture has ten targets with two slots each. */
const SLOTS = 20;
const WORKSPACE = { name: 'w', priority: undefined, quota: undefined };
const WORKSPACES = new WorkspaceKeys([{ workspace: WORKSPACE, keys: ['k'] }]);
const KEYED = [['Authorization', 'Bearer k']] as const;

describe('requests under overload', () => {
  let fixture: ProxyFixture;
  let answers: ((result: AttemptResult) => void)[];
  let outcomes: CallerOutcome[];

  beforeEach(() => {
    fixture = new ProxyFixture({ workspaces: WORKSPACES });
    answers = [];
    outcomes = [];
    fixture.script = () =>
      new Promise((resolve) => {
        answers.push(resolve);
      });
  });

  /** Sends requests one after the other. */
  async function send(count: number, isKeyed = true): Promise<void> {
    if (count === 0) return;
    fixture
      .handle(fixture.createExchange('non-idempotent', { fields: isKeyed ? KEYED : [] }))
      .then((outcome) => outcomes.push(outcome))
      .catch(() => {});
    await fixture.clock.advance(0);
    await send(count - 1, isKeyed);
  }

  async function answerAll(result: AttemptResult = RESULTS.good): Promise<void> {
    answers.splice(0).forEach((answer) => answer(result));
    await fixture.clock.advance(0);
  }

  it('are all sent while there are free slots', async () => {
    await send(SLOTS);
    expect(fixture.sent).toHaveLength(SLOTS);
    expect(outcomes).toEqual([]);
  });

  it('are all sent to the queues of the targets where callers belong to no workspace', async () => {
    fixture = new ProxyFixture();
    fixture.script = () => new Promise(() => {});
    await send(4 * SLOTS, false);
    expect(fixture.sent).toHaveLength(4 * SLOTS);
  });

  it('are sent, queued or refused at once with a time to return', async () => {
    await send(SLOTS);
    await send(3 * SLOTS);
    expect(fixture.sent.length).toBeLessThan(2 * SLOTS);
    expect(new Set(outcomes.map(describeOutcome))).toEqual(new Set(['overloaded']));
    expect(outcomes.length).toBeGreaterThan(SLOTS);
    expect(outcomes.every((outcome) => 'freeInMilliseconds' in outcome)).toBe(true);
  });

  it('are sent from the queue once others end, each once', async () => {
    await send(SLOTS);
    await send(3 * SLOTS);
    const waiting = 4 * SLOTS - outcomes.length - fixture.sent.length;
    expect(waiting).toBeGreaterThan(0);
    const sentBefore = fixture.sent.length;
    await answerAll();
    await fixture.clock.advance(20);
    expect(fixture.sent).toHaveLength(sentBefore + waiting);
    await answerAll();
    const served = outcomes.filter((outcome) => describeOutcome(outcome) === '200');
    expect(served).toHaveLength(sentBefore + waiting);
    expect(outcomes).toHaveLength(4 * SLOTS);
  });

  it('are tried on another target without a second admission', async () => {
    await send(SLOTS);
    await send(3 * SLOTS);
    const sentBefore = fixture.sent.length;
    answers.shift()!(RESULTS.full);
    await fixture.clock.advance(0);
    expect(fixture.sent.length).toBeGreaterThan(sentBefore);
    expect(outcomes.map(describeOutcome)).not.toContain('refused-by-targets');
  });
});
