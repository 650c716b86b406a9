/** Guards against requests that run without a key in force, and against keys that reach targets. */
import { beforeEach, describe, expect, it } from 'vitest';
import type { HeaderFields } from '../../connections/TargetAttempt.js';
import WorkspaceKeys from '../../workspaces/WorkspaceKeys.js';
import { connectAtOnce, refuseAtOnce } from './createReachability.js';
import ProxyFixture, { answer, describeOutcome } from './ProxyFixture.js';

const KEY_TRUST_MILLISECONDS = 5_000;
const workspace = { name: 'w', priority: undefined, quota: undefined };
const KEYED: HeaderFields = [['Authorization', 'Bearer secret']];

describe('RequestProxy with workspaces', () => {
  let fixture: ProxyFixture;

  beforeEach(() => {
    const workspaces = new WorkspaceKeys([{ workspace, keys: ['secret'] }]);
    fixture = new ProxyFixture({ workspaces, keyTrustMilliseconds: KEY_TRUST_MILLISECONDS });
    fixture.confirm(0);
  });

  async function send(fields: HeaderFields, change = {}): Promise<string> {
    const exchange = fixture.createExchange('idempotent', { fields, ...change });
    return describeOutcome(await fixture.handle(exchange));
  }

  describe('a request with a key in force', () => {
    it('is sent with the name of its workspace and without the key, on each attempt', async () => {
      fixture.answerInTurn('failed', 'good');
      expect(await send(KEYED)).toBe('200');
      expect(fixture.sent.map(({ fields }) => fields)).toEqual([
        [['X-Workspace', 'w']],
        [['X-Workspace', 'w']],
      ]);
    });

    it('is relayed with its key, which the peer checks again', async () => {
      fixture.relayResult = answer(200) as Extract<ReturnType<typeof answer>, { kind: 'answered' }>;
      fixture.openProbe = refuseAtOnce;
      fixture.reachability.confirmFailure('connection', () => {});
      await fixture.clock.advance(200);
      expect(await send(KEYED)).toBe('200');
      expect(fixture.relayed).toMatchObject([
        { exchange: { fields: KEYED }, needsAuthorization: true },
      ]);
      fixture.openProbe = connectAtOnce;
    });
  });

  describe('a request without a key in force', () => {
    it('is refused at once', async () => {
      expect(await send([])).toBe('unknown-key');
      expect(await send([['Authorization', 'Bearer other']])).toBe('unknown-key');
      expect(fixture.sent).toEqual([]);
    });

    it('is refused too when a peer relays it and claims a workspace', async () => {
      const relayed = { attemptsMade: 0, configurationVersion: 1 };
      expect(await send([['X-Workspace', 'w']], { relayed })).toBe('unknown-key');
    });
  });

  describe('a daemon that hears nothing of revoked keys', () => {
    it('refuses keyed requests as not run after the time for which it may trust them', async () => {
      await fixture.clock.advance(KEY_TRUST_MILLISECONDS);
      expect(await send(KEYED)).toBe('200');
      await fixture.clock.advance(1);
      expect(await send(KEYED)).toBe('stale-keys');
    });
  });

  describe('a daemon without a configuration', () => {
    it('does not call a key unknown', async () => {
      fixture = new ProxyFixture({ hasState: false });
      const handled = send(KEYED);
      await fixture.clock.advance(1_000);
      expect(await handled).toBe('no-configuration');
    });
  });
});
