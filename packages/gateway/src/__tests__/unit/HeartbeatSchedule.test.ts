import { ManualClock, silentLogger } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import EntryDirectory from '../../fleet/EntryDirectory.js';
import FleetMembers, { HEARTBEAT_INTERVAL_MILLISECONDS } from '../../fleet/FleetMembers.js';
import HeartbeatSchedule from '../../fleet/HeartbeatSchedule.js';
import type { PeerDescription } from '../../fleet/PeerMessage.js';
import createPeerDescription from './createPeerDescription.js';

const ZONES = ['z0', 'z1', 'z2', 'z3'];
/** Datagrams per second of one daemon that serves no callers, whatever the size of the fleet. */
const MAXIMUM_PER_SECOND = 30;

/** The cost of a daemon must not grow with the fleet: messages to all members of a region did. */
describe('HeartbeatSchedule', () => {
  let clock: ManualClock;

  beforeEach(() => {
    clock = new ManualClock();
  });

  interface Daemon {
    readonly members: FleetMembers;
    readonly directory: EntryDirectory;
    readonly schedule: HeartbeatSchedule;
  }

  function describeRegion(perZone: number): readonly PeerDescription[] {
    return ZONES.flatMap((zone) =>
      Array.from({ length: perZone }, (_, index) =>
        createPeerDescription(`${zone}-${index}`, { zone }),
      ),
    );
  }

  function createDaemon(self: PeerDescription, region: readonly PeerDescription[]): Daemon {
    const members = new FleetMembers(
      () => self,
      clock,
      silentLogger,
      () => {},
    );
    region.forEach((one) => members.applyDescription(one));
    const directory = new EntryDirectory(members, clock);
    return { members, directory, schedule: new HeartbeatSchedule(members, directory) };
  }

  /** The daemon of a zone that serves no callers and would not be one of the next. */
  function createOther(region: readonly PeerDescription[]): Daemon {
    const self = region.find((one) => !createDaemon(one, region).directory.isCritical());
    return createDaemon(self!, region);
  }

  function sendRounds({ schedule }: Daemon, rounds: number): readonly string[] {
    return Array.from({ length: rounds }).flatMap((_, round) =>
      schedule.recipientsIn(round).flatMap(({ addresses }) => addresses),
    );
  }

  [9, 37, 75, 275].forEach((perZone) => {
    describe(`with ${perZone * ZONES.length} daemons in the region`, () => {
      it('a daemon that serves no callers sends a bounded number of heartbeats', () => {
        const rounds = 200;
        const sent = sendRounds(createOther(describeRegion(perZone)), rounds);
        const seconds = (rounds * HEARTBEAT_INTERVAL_MILLISECONDS) / 1_000;
        expect(sent.length / seconds).toBeLessThanOrEqual(MAXIMUM_PER_SECOND);
      });

      it('reaches every member within the pause that its heartbeats state', () => {
        const daemon = createOther(describeRegion(perZone));
        const pauses = new Map<string, number>();
        const lastRound = new Map<string, number>();
        Array.from({ length: 400 }).forEach((_, round) => {
          daemon.schedule.recipientsIn(round).forEach(({ addresses, pauseMilliseconds }) => {
            addresses.forEach((address) => {
              const before = lastRound.get(address) ?? round;
              const elapsed = (round - before) * HEARTBEAT_INTERVAL_MILLISECONDS;
              expect(elapsed).toBeLessThanOrEqual(pauses.get(address) ?? elapsed);
              pauses.set(address, pauseMilliseconds);
              lastRound.set(address, round);
            });
          });
        });
        expect(lastRound.size).toBe(daemon.members.live().length);
      });
    });
  });

  it('lets a daemon that serves callers reach its whole zone in each round', () => {
    const region = describeRegion(37);
    const self = region.find((one) => createDaemon(one, region).directory.isEntry())!;
    const [zone] = createDaemon(self, region).schedule.recipientsIn(0);
    expect(zone?.addresses).toHaveLength(36);
    expect(zone?.pauseMilliseconds).toBe(HEARTBEAT_INTERVAL_MILLISECONDS);
  });
});
