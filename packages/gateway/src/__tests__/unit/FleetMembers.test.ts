import { ManualClock, silentLogger } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import EntryDirectory from '../../fleet/EntryDirectory.js';
import FleetMembers, { HEARTBEAT_INTERVAL_MILLISECONDS } from '../../fleet/FleetMembers.js';
import type { MemberHeartbeat } from '../../fleet/FleetMembers.js';
import type { DaemonState } from '../../fleet/PeerMessage.js';
import createPeerDescription from './createPeerDescription.js';

function heartbeatOf(
  sender: string,
  incarnation = 1,
  overrides: Partial<MemberHeartbeat> = {},
): MemberHeartbeat {
  return {
    sender,
    incarnation,
    state: 'ready',
    isCutOff: false,
    pauseMilliseconds: HEARTBEAT_INTERVAL_MILLISECONDS,
    ...overrides,
  };
}

const NO_CRITICAL_MEMBERS: ReadonlyMap<string, number> = new Map();

describe('FleetMembers', () => {
  let clock: ManualClock;
  let removed: string[];
  let members: FleetMembers;
  let ownState: DaemonState;

  beforeEach(() => {
    clock = new ManualClock();
    removed = [];
    ownState = 'ready';
    const self = () => createPeerDescription('m', { state: ownState });
    members = new FleetMembers(self, clock, silentLogger, (name) => removed.push(name));
  });

  /** Members that are critical from the start of the test. */
  function criticalFromStart(...names: readonly string[]): ReadonlyMap<string, number> {
    return new Map(names.map((name) => [name, 0]));
  }

  describe('heartbeats', () => {
    it('keeps a member that sends heartbeats and removes a silent one', async () => {
      members.applyDescription(createPeerDescription('a'));
      members.applyDescription(createPeerDescription('b'));
      await clock.advance(3 * HEARTBEAT_INTERVAL_MILLISECONDS);
      expect(members.applyHeartbeat(heartbeatOf('a', 1))).toBe(true);
      await clock.advance(2 * HEARTBEAT_INTERVAL_MILLISECONDS);
      members.expire(criticalFromStart('a', 'b'));
      expect(members.liveAddresses()).toEqual(['a:1']);
      expect(removed).toEqual(['b']);
    });

    it('gives a member time from when it becomes critical', async () => {
      members.applyDescription(createPeerDescription('a'));
      await clock.advance(10 * HEARTBEAT_INTERVAL_MILLISECONDS);
      const since = clock.now();
      members.expire(new Map([['a', since]]));
      expect(members.liveAddresses()).toEqual(['a:1']);
      await clock.advance(5 * HEARTBEAT_INTERVAL_MILLISECONDS);
      members.expire(new Map([['a', since]]));
      expect(removed).toEqual(['a']);
    });

    it('requires the description of an unknown or restarted daemon', () => {
      members.applyDescription(createPeerDescription('a'));
      expect(members.applyHeartbeat(heartbeatOf('a', 2))).toBe(false);
      expect(members.applyHeartbeat(heartbeatOf('c', 1))).toBe(false);
    });

    it('keeps a member with a longer heartbeat interval for longer', async () => {
      members.applyDescription(createPeerDescription('a'));
      members.applyHeartbeat(
        heartbeatOf('a', 1, { pauseMilliseconds: 4 * HEARTBEAT_INTERVAL_MILLISECONDS }),
      );
      await clock.advance(12 * HEARTBEAT_INTERVAL_MILLISECONDS);
      members.expire(NO_CRITICAL_MEMBERS);
      expect(members.liveAddresses()).toEqual(['a:1']);
      await clock.advance(5 * HEARTBEAT_INTERVAL_MILLISECONDS);
      members.expire(NO_CRITICAL_MEMBERS);
      expect(removed).toEqual(['a']);
    });

    it('has a longer initial timeout for a member of another zone', async () => {
      members.applyDescription(createPeerDescription('a', { zone: 'other' }));
      await clock.advance(6 * HEARTBEAT_INTERVAL_MILLISECONDS);
      members.expire(NO_CRITICAL_MEMBERS);
      expect(members.liveAddresses()).toEqual(['a:1']);
    });

    it('requires a new description when the state has changed', () => {
      members.applyDescription(createPeerDescription('a'));
      expect(members.applyHeartbeat(heartbeatOf('a', 1, { state: 'leaving' }))).toBe(false);
    });

    it('ignores the description of an earlier process under the same name', () => {
      members.applyDescription(createPeerDescription('a', { incarnation: 5 }));
      expect(
        members.applyDescription(createPeerDescription('a', { incarnation: 4, state: 'leaving' })),
      ).toBe(false);
      expect(members.get('a')?.description.state).toBe('ready');
    });

    it('replaces a member whose process has restarted', () => {
      members.applyDescription(createPeerDescription('a'));
      expect(members.applyDescription(createPeerDescription('a', { incarnation: 2 }))).toBe(true);
      expect(removed).toEqual(['a']);
    });
  });

  describe('silent members', () => {
    it('are listed, without live members and other regions', async () => {
      members.applyDescription(createPeerDescription('a'));
      members.applyDescription(createPeerDescription('far', { region: 'other' }));
      await clock.advance(10 * HEARTBEAT_INTERVAL_MILLISECONDS);
      members.applyDescription(createPeerDescription('b'));
      members.expire(criticalFromStart('a', 'b'));
      expect(members.silentAddresses()).toEqual(['a:1']);
    });

    it('are returned when their addresses are added again', () => {
      members.applyDescription(createPeerDescription('a'));
      const returned = members.addAddresses([
        { address: 'a:1', region: 'r' },
        { address: 'b:1', region: 'r' },
        { address: 'm:1', region: 'r' },
        { address: 'far:1', region: 'other' },
        { address: 'unknown:1' },
      ]);
      expect(returned).toEqual(['b:1', 'unknown:1']);
    });
  });

  describe('rank', () => {
    it('is the position among ready members by name', () => {
      ['a', 'b', 'x'].forEach((name) => members.applyDescription(createPeerDescription(name)));
      members.applyDescription(createPeerDescription('c', { state: 'leaving' }));
      expect(members.rank()).toBe(2);
      ownState = 'starting';
      expect(members.rank()).toBe(3);
    });
  });

  describe('EntryDirectory', () => {
    let directory: EntryDirectory;

    beforeEach(() => {
      directory = new EntryDirectory(members, clock);
    });

    it('returns a few ready daemons of the zone, the same on every daemon', () => {
      const names = Array.from({ length: 12 }, (_, index) => `d${index}`);
      names.forEach((name) => members.applyDescription(createPeerDescription(name)));
      const chosen = directory.addressesFor('z');
      expect(chosen.length).toBeLessThan(names.length);
      expect(chosen.length).toBeGreaterThanOrEqual(3);
      const other = new FleetMembers(
        () => createPeerDescription('d0'),
        clock,
        silentLogger,
        () => {},
      );
      [...names.slice(1), 'm'].forEach((name) =>
        other.applyDescription(createPeerDescription(name)),
      );
      expect(new EntryDirectory(other, clock).addressesFor('z')).toEqual(chosen);
    });

    it('excludes small hosts while there are others', () => {
      const names = Array.from({ length: 12 }, (_, index) => `d${index}`);
      names.forEach((name, index) =>
        members.applyDescription(createPeerDescription(name, { capacity: index < 4 ? 1 : 0.3 })),
      );
      const chosen = directory.addressesFor('z');
      expect(chosen.every((one) => ['m:2', 'd0:2', 'd1:2', 'd2:2', 'd3:2'].includes(one))).toBe(
        true,
      );
    });

    it('excludes daemons that are starting, leaving or silent', async () => {
      ownState = 'leaving';
      members.applyDescription(createPeerDescription('a', { state: 'starting' }));
      members.applyDescription(createPeerDescription('b'));
      members.applyDescription(createPeerDescription('c'));
      await clock.advance(3 * HEARTBEAT_INTERVAL_MILLISECONDS);
      members.applyHeartbeat(heartbeatOf('b', 1));
      await clock.advance(2 * HEARTBEAT_INTERVAL_MILLISECONDS);
      members.expire(criticalFromStart('b', 'c'));
      expect(directory.addressesFor('z')).toEqual(['b:2']);
    });

    it('adds entries of the region when the zone has too few', () => {
      ownState = 'leaving';
      members.applyDescription(createPeerDescription('a', { zone: 'other' }));
      members.applyDescription(createPeerDescription('b', { zone: 'other' }));
      members.applyDescription(createPeerDescription('c'));
      expect([...directory.addressesFor('z')].sort()).toEqual(['a:2', 'b:2', 'c:2']);
    });

    it('excludes daemons that are cut off from all targets, while there are others', async () => {
      const isCutOff = true;
      members.applyDescription(createPeerDescription('a', { isCutOff }));
      members.applyDescription(createPeerDescription('b'));
      expect([...directory.addressesFor('z')].sort()).toEqual(['b:2', 'm:2']);
      expect(directory.relayPeers().map(({ name }) => name)).toEqual(['b']);
      await clock.advance(300);
      members.applyDescription(createPeerDescription('b', { isCutOff }));
      ownState = 'leaving';
      expect([...directory.addressesFor('z')].sort()).toEqual(['a:2', 'b:2']);
      expect(directory.relayPeers()).toEqual([]);
    });

    it('directs the callers of a zone that is cut off to the entries of the other zones', () => {
      ownState = 'leaving';
      ['a', 'b', 'c'].forEach((name) =>
        members.applyDescription(createPeerDescription(name, { isCutOff: true })),
      );
      const names = Array.from({ length: 6 }, (_, index) => `d${index}`);
      names.forEach((name) =>
        members.applyDescription(createPeerDescription(name, { zone: 'other' })),
      );
      expect([...directory.addressesFor('z')].sort()).toEqual(
        [...directory.addressesFor('other')].sort(),
      );
    });

    it('puts others in the place of entries that are cut off', async () => {
      const names = Array.from({ length: 12 }, (_, index) => `d${index}`);
      names.forEach((name) => members.applyDescription(createPeerDescription(name)));
      const before = directory.entryAddresses();
      const [cutOff] = names.filter((name) => before.includes(`${name}:1`));
      members.applyDescription(createPeerDescription(cutOff!, { isCutOff: true }));
      await clock.advance(300);
      expect(directory.entryAddresses()).not.toContain(`${cutOff}:1`);
      expect(directory.entryAddresses()).toHaveLength(before.length);
    });

    it('relies on the entries and the next daemons of the zone, also while they are silent', () => {
      const names = Array.from({ length: 12 }, (_, index) => `d${index}`);
      names.forEach((name) => members.applyDescription(createPeerDescription(name)));
      members.applyDescription(createPeerDescription('far', { zone: 'other' }));
      const critical = [...directory.criticalMembers().keys()];
      expect(critical).toHaveLength(6);
      expect(critical).not.toContain('far');
      expect(directory.isCritical()).toBe(critical.includes('m'));
    });

    it('includes active daemons that are not selected as entries', async () => {
      const names = Array.from({ length: 12 }, (_, index) => `d${index}`);
      names.forEach((name) => members.applyDescription(createPeerDescription(name)));
      const entries = directory.entryAddresses();
      const idle = names.find((name) => !entries.includes(`${name}:1`))!;
      Array.from({ length: 4 }).forEach(() => members.recordReport(idle));
      await clock.advance(300);
      expect(directory.entryAddresses()).toContain(`${idle}:1`);
    });
  });
});
