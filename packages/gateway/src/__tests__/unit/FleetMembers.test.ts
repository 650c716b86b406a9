import { ManualClock, silentLogger } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import EntryDirectory from '../../EntryDirectory.js';
import FleetMembers, { BEAT_MILLISECONDS } from '../../FleetMembers.js';
import type { MemberBeat } from '../../FleetMembers.js';
import type { DaemonState } from '../../PeerMessage.js';
import describeHost from './describeHost.js';

function beatOf(sender: string, incarnation = 1, change: Partial<MemberBeat> = {}): MemberBeat {
  return { sender, incarnation, state: 'ready', pauseMilliseconds: BEAT_MILLISECONDS, ...change };
}

describe('FleetMembers', () => {
  let clock: ManualClock;
  let gone: string[];
  let members: FleetMembers;
  let ownState: DaemonState;

  beforeEach(() => {
    clock = new ManualClock();
    gone = [];
    ownState = 'ready';
    const self = () => describeHost('m', { state: ownState });
    members = new FleetMembers(self, clock, silentLogger, (name) => gone.push(name));
  });

  describe('signs of life', () => {
    it('keep a member, and silence drops it', async () => {
      members.hear(describeHost('a'));
      members.hear(describeHost('b'));
      await clock.advance(3 * BEAT_MILLISECONDS);
      expect(members.hearBeat(beatOf('a', 1))).toBe(true);
      await clock.advance(2 * BEAT_MILLISECONDS);
      members.expire();
      expect(members.liveAddresses()).toEqual(['a:1']);
      expect(gone).toEqual(['b']);
    });

    it('of an unknown or restarted daemon ask for its description', () => {
      members.hear(describeHost('a'));
      expect(members.hearBeat(beatOf('a', 2))).toBe(false);
      expect(members.hearBeat(beatOf('c', 1))).toBe(false);
    });

    it('of a member that is heard seldom keep it for longer', async () => {
      members.hear(describeHost('a'));
      members.hearBeat(beatOf('a', 1, { pauseMilliseconds: 4 * BEAT_MILLISECONDS }));
      await clock.advance(12 * BEAT_MILLISECONDS);
      members.expire();
      expect(members.liveAddresses()).toEqual(['a:1']);
      await clock.advance(5 * BEAT_MILLISECONDS);
      members.expire();
      expect(gone).toEqual(['a']);
    });

    it('are awaited from another zone for as long as its seldom heartbeats may take', async () => {
      members.hear(describeHost('a', { zone: 'other' }));
      await clock.advance(6 * BEAT_MILLISECONDS);
      members.expire();
      expect(members.liveAddresses()).toEqual(['a:1']);
    });

    it('in a state other than the one described ask for a description', () => {
      members.hear(describeHost('a'));
      expect(members.hearBeat(beatOf('a', 1, { state: 'leaving' }))).toBe(false);
    });

    it('of an earlier process under the same name change nothing', () => {
      members.hear(describeHost('a', { incarnation: 5 }));
      expect(members.hear(describeHost('a', { incarnation: 4, state: 'leaving' }))).toBe(false);
      expect(members.get('a')?.description.state).toBe('ready');
    });

    it('of a restart drop what was known of the earlier process', () => {
      members.hear(describeHost('a'));
      expect(members.hear(describeHost('a', { incarnation: 2 }))).toBe(true);
      expect(gone).toEqual(['a']);
    });
  });

  describe('members that fell silent', () => {
    it('are tried again, other regions and live ones are not', async () => {
      members.hear(describeHost('a'));
      members.hear(describeHost('far', { region: 'other' }));
      await clock.advance(10 * BEAT_MILLISECONDS);
      members.hear(describeHost('b'));
      members.expire();
      expect(members.lost()).toEqual(['a:1']);
    });

    it('are tried when another member tells of them', () => {
      members.hear(describeHost('a'));
      const told = members.remember([
        { address: 'a:1', region: 'r' },
        { address: 'b:1', region: 'r' },
        { address: 'm:1', region: 'r' },
        { address: 'far:1', region: 'other' },
        { address: 'unknown:1' },
      ]);
      expect(told).toEqual(['b:1', 'unknown:1']);
    });
  });

  describe('rank', () => {
    it('is the place among ready members by name', () => {
      ['a', 'b', 'x'].forEach((name) => members.hear(describeHost(name)));
      members.hear(describeHost('c', { state: 'leaving' }));
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

    it('gives a few ready daemons of the zone, the same on every daemon', () => {
      const names = Array.from({ length: 12 }, (_, index) => `d${index}`);
      names.forEach((name) => members.hear(describeHost(name)));
      const chosen = directory.addressesFor('z');
      expect(chosen.length).toBeLessThan(names.length);
      expect(chosen.length).toBeGreaterThanOrEqual(3);
      const other = new FleetMembers(
        () => describeHost('d0'),
        clock,
        silentLogger,
        () => {},
      );
      [...names.slice(1), 'm'].forEach((name) => other.hear(describeHost(name)));
      expect(new EntryDirectory(other, clock).addressesFor('z')).toEqual(chosen);
    });

    it('leaves small hosts out while there are others', () => {
      const names = Array.from({ length: 12 }, (_, index) => `d${index}`);
      names.forEach((name, index) =>
        members.hear(describeHost(name, { capacity: index < 4 ? 1 : 0.3 })),
      );
      const chosen = directory.addressesFor('z');
      expect(chosen.every((one) => ['m:2', 'd0:2', 'd1:2', 'd2:2', 'd3:2'].includes(one))).toBe(
        true,
      );
    });

    it('leaves out who starts, leaves or fell silent', async () => {
      ownState = 'leaving';
      members.hear(describeHost('a', { state: 'starting' }));
      members.hear(describeHost('b'));
      members.hear(describeHost('c'));
      await clock.advance(3 * BEAT_MILLISECONDS);
      members.hearBeat(beatOf('b', 1));
      await clock.advance(2 * BEAT_MILLISECONDS);
      members.expire();
      expect(directory.addressesFor('z')).toEqual(['b:2']);
    });

    it('takes the region where the zone has too few', () => {
      ownState = 'leaving';
      members.hear(describeHost('a', { zone: 'other' }));
      members.hear(describeHost('b', { zone: 'other' }));
      members.hear(describeHost('c'));
      expect([...directory.addressesFor('z')].sort()).toEqual(['a:2', 'b:2', 'c:2']);
    });

    it('has whoever serves told of evidence', async () => {
      const names = Array.from({ length: 12 }, (_, index) => `d${index}`);
      names.forEach((name) => members.hear(describeHost(name)));
      const entries = directory.entryAddresses();
      const idle = names.find((name) => !entries.includes(`${name}:1`))!;
      Array.from({ length: 4 }).forEach(() => members.noteReport(idle));
      await clock.advance(300);
      expect(directory.entryAddresses()).toContain(`${idle}:1`);
    });
  });
});
