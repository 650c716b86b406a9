/**
 * Guards against daemons that disagree on the entries, and against entries that change with each
 * wave: both send callers to and fro. Members tell their load; older ones do not.
 */
import { ManualClock, silentLogger } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import EntryDirectory from '../../fleet/EntryDirectory.js';
import FleetMembers from '../../fleet/FleetMembers.js';
import createPeerDescription from './createPeerDescription.js';

const SMALL = 0.14;
const LARGE_NAMES = ['large-1', 'large-2'];
const SMALL_NAMES = Array.from({ length: 9 }, (_, index) => `small-${index}`);

interface Daemon {
  readonly members: FleetMembers;
  readonly directory: EntryDirectory;
}

describe('EntryDirectory', () => {
  let clock: ManualClock;
  let loads: Map<string, number>;

  beforeEach(() => {
    clock = new ManualClock();
    loads = new Map();
  });

  function createDaemon(name: string, capacityOf: (name: string) => number): Daemon {
    const describeDaemon = (one: string) =>
      createPeerDescription(one, { capacity: capacityOf(one) });
    const members = new FleetMembers(
      () => describeDaemon(name),
      clock,
      silentLogger,
      () => {},
    );
    [...LARGE_NAMES, ...SMALL_NAMES]
      .filter((one) => one !== name)
      .forEach((one) => members.applyDescription(describeDaemon(one)));
    return { members, directory: new EntryDirectory(members, clock, () => loads.get(name) ?? 0) };
  }

  /** All members tell their loads in heartbeats, but those that are older. */
  function tellLoads({ members }: Daemon, older: readonly string[] = []): void {
    members.live().forEach(({ description: { name: sender } }) => {
      const callerLoad = older.includes(sender) ? {} : { callerLoad: loads.get(sender) ?? 0 };
      const beat = { sender, incarnation: 1, state: 'ready', isCutOff: false } as const;
      members.applyHeartbeat({ ...beat, pauseMilliseconds: 600, ...callerLoad });
    });
    clock.pause(300);
  }

  const unequal = (name: string) => (name.startsWith('large') ? 1 : SMALL);
  const equal = () => 1;

  it('directs callers to the two large hosts of a zone, not to the small ones', () => {
    const { directory } = createDaemon('small-0', unequal);
    expect([...directory.addressesFor('z')].sort()).toEqual(LARGE_NAMES.map((name) => `${name}:2`));
    expect(directory.isEntry()).toBe(false);
  });

  it('spreads callers over more hosts under load, the same on every daemon', () => {
    const daemons = ['large-1', 'small-3', 'small-8'].map((name) => createDaemon(name, equal));
    daemons.forEach((daemon) => tellLoads(daemon));
    const [before] = daemons.map(({ directory }) => directory.addressesFor('z'));
    expect(before).toHaveLength(3);
    LARGE_NAMES.concat('small-3').forEach((name) => loads.set(name, 1.2));
    daemons.forEach((daemon) => tellLoads(daemon));
    const [first, ...others] = daemons.map(({ directory }) => directory.addressesFor('z'));
    expect(first).toHaveLength(6);
    expect(first).toEqual(expect.arrayContaining([...before!]));
    others.forEach((one) => expect(one).toEqual(first));
  });

  it('keeps the entries while load comes in waves, and lets go of them late', () => {
    const daemon = createDaemon('small-0', equal);
    const lengths = Array.from({ length: 40 }, (_, step) => {
      loads.set('large-1', step % 10 < 5 ? 3.5 : 1.6);
      tellLoads(daemon);
      return daemon.directory.addressesFor('z').length;
    });
    expect(new Set(lengths.slice(1))).toEqual(new Set([5]));
    loads.clear();
    clock.pause(300_000);
    tellLoads(daemon);
    expect(daemon.directory.addressesFor('z')).toHaveLength(3);
  });

  it('counts what older members do not tell as nothing', () => {
    const daemon = createDaemon('small-0', equal);
    LARGE_NAMES.forEach((name) => loads.set(name, 2));
    tellLoads(daemon, LARGE_NAMES);
    expect(daemon.directory.addressesFor('z')).toHaveLength(3);
  });

  it('knows more standbys than there are entries', () => {
    const daemon = createDaemon('small-0', equal);
    loads.set('large-1', 3.5);
    tellLoads(daemon);
    expect(daemon.directory.criticalMembers().size).toBeGreaterThanOrEqual(5 + 2);
  });
});
