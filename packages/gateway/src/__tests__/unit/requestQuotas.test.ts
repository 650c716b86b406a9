/**
 * Guards against requests that are counted twice against a quota or the retry budget, or not at all:
 * when they are retried, hedged, or relayed by a daemon that is cut off from all targets.
 */
import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { CallerExchange, CallerOutcome } from '../../callers/CallerExchange.js';
import type { RelayStatement } from '../../relay/RelayStatement.js';
import WorkspaceKeys from '../../workspaces/WorkspaceKeys.js';
import { refuseAtOnce } from './createReachability.js';
import ProxyFixture, { answer, describeOutcome } from './ProxyFixture.js';

const QUOTA = { requestsPerSecond: 1, burst: 2 };
/** The head room of this quota and its burst. */
const CAPACITY = 13;
const WORKSPACE = { name: 'w', priority: undefined, quota: QUOTA };
const FIELDS = [['Authorization', 'Bearer k']] as const;
/** Until then the burst is withheld, since the process may have been restarted. */
const SETTLED_MILLISECONDS = 60_000;

describe('RequestProxy with quotas of workspaces', () => {
  let fixture: ProxyFixture;

  beforeEach(async () => {
    const workspaces = new WorkspaceKeys([{ workspace: WORKSPACE, keys: ['k'] }]);
    fixture = new ProxyFixture({ hasState: true, workspaces });
    await fixture.clock.advance(SETTLED_MILLISECONDS);
  });

  function handle(change: Partial<CallerExchange> = {}): Promise<CallerOutcome> {
    return fixture.handle(fixture.createExchange('idempotent', { fields: FIELDS, ...change }));
  }

  /** The outcomes of many requests at once. */
  async function exhaust(change: Partial<CallerExchange> = {}): Promise<readonly string[]> {
    const outcomes = await Promise.all(Array.from({ length: 30 }, () => handle(change)));
    return outcomes.map(describeOutcome);
  }

  function countRefused(outcomes: readonly string[]): number {
    return outcomes.filter((outcome) => outcome === 'over-quota').length;
  }

  it('sends on what is within the quota, and refuses the rest with the time until there is room', async () => {
    const outcomes = await exhaust();
    expect(countRefused(outcomes)).toBe(30 - CAPACITY);
    expect(fixture.sent).toHaveLength(CAPACITY);
    const outcome = await handle();
    expect(outcome).toMatchObject({ reason: 'over-quota' });
    const freeIn = outcome.kind === 'refused' ? outcome.freeInMilliseconds! : 0;
    await fixture.clock.advance(freeIn);
    expect(describeOutcome(await handle())).toBe('200');
  });

  it('counts a request once that is retried', async () => {
    fixture.answerInTurn('failed', 'good', 'failed', 'good', 'unreached', 'good');
    await handle();
    await handle();
    await handle();
    expect(fixture.sent).toHaveLength(6);
    expect(countRefused(await exhaust())).toBe(30 - CAPACITY + 3);
  });

  it('does not count a request that is not sent', async () => {
    const controller = new AbortController();
    controller.abort();
    await exhaust({ signal: controller.signal });
    expect(countRefused(await exhaust())).toBe(30 - CAPACITY);
  });

  describe('of a daemon that is cut off', () => {
    beforeEach(async () => {
      fixture.relayResult = answer(200) as typeof fixture.relayResult;
      fixture.openProbe = refuseAtOnce;
      fixture.reachability.confirmFailure('connection', () => {});
      await fixture.clock.advance(200);
    });

    it('counts what it relays, and says so', async () => {
      expect(countRefused(await exhaust())).toBe(30 - CAPACITY);
      expect(fixture.relayed).toHaveLength(CAPACITY);
      expect(fixture.relayed[0]).toMatchObject({ statement: { isQuotaCounted: true } });
    });

    it('leaves the retry budget to its peer, which starts the first attempt', async () => {
      const deposit = vi.spyOn(fixture.retryBudgetShares.shareOf('s'), 'deposit');
      await handle();
      expect(deposit).not.toHaveBeenCalled();
      expect(fixture.relayed[0]).toMatchObject({ statement: { isBudgetCounted: false } });
    });
  });

  describe('of the peer that executes a relayed request', () => {
    const statement: RelayStatement = { attemptsMade: 0, configurationVersion: 1 };

    it('counts a request of an older build, which does not count it', async () => {
      expect(countRefused(await exhaust({ relayed: statement }))).toBe(30 - CAPACITY);
    });

    it('does not count or refuse what the other daemon has counted', async () => {
      const relayed = { ...statement, isQuotaCounted: true };
      expect(countRefused(await exhaust({ relayed }))).toBe(0);
      expect(countRefused(await exhaust())).toBe(30 - CAPACITY);
    });

    it('raises the retry budget once, unless the other daemon has', async () => {
      const deposit = vi.spyOn(fixture.retryBudgetShares.shareOf('s'), 'deposit');
      fixture.answerInTurn('unreached', 'good');
      await handle({ relayed: statement });
      expect(fixture.sent).toHaveLength(2);
      expect(deposit).toHaveBeenCalledTimes(1);
      await handle({ relayed: { ...statement, isBudgetCounted: true } });
      await handle({ relayed: { ...statement, attemptsMade: 1 } });
      expect(deposit).toHaveBeenCalledTimes(1);
    });
  });
});
