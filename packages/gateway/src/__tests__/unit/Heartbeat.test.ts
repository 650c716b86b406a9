import type { Stop } from '@cactusrun/core';
import { createRandom, ManualClock, silentLogger } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import EntryDirectory from '../../fleet/EntryDirectory.js';
import FleetMembers, { HEARTBEAT_INTERVAL_MILLISECONDS } from '../../fleet/FleetMembers.js';
import { startHeartbeat } from '../../fleet/Heartbeat.js';
import type { PeerMessage } from '../../fleet/PeerMessage.js';
import createPeerDescription from './createPeerDescription.js';

const MEMBERS_PER_ZONE = 12;
const ROUNDS = 40;
const VERSIONS = { configuration: 1, targets: 1, ageMilliseconds: 0 };

describe('Heartbeat', () => {
  let clock: ManualClock;
  let members: FleetMembers;
  let directory: EntryDirectory;
  let sent: { readonly address: string; readonly message: PeerMessage }[];
  let stop: Stop;

  beforeEach(() => {
    clock = new ManualClock();
    sent = [];
  });

  afterEach(async () => {
    await stop();
  });

  /** Runs some rounds of a daemon among twelve of its own zone and twelve of another. */
  async function runRounds(name: string): Promise<void> {
    members = new FleetMembers(
      () => createPeerDescription(name, { zone: 'near' }),
      clock,
      silentLogger,
      () => {},
    );
    directory = new EntryDirectory(members, clock);
    ['near', 'remote'].forEach((zone) => {
      Array.from({ length: MEMBERS_PER_ZONE }, (_, index) => `${zone}${index}`)
        .filter((other) => other !== name)
        .forEach((other) => members.applyDescription(createPeerDescription(other, { zone })));
    });
    const known = members.live().map(({ description }) => description);
    stop = startHeartbeat({
      name,
      createHeartbeat: () => ({
        kind: 'beat',
        sender: name,
        incarnation: 1,
        state: 'ready',
        isCutOff: false,
        versions: VERSIONS,
        outstanding: {},
        unhealthy: [{ target: 't', ageMilliseconds: 1 }],
        rateLimits: [{ target: 't', rate: 2, ageMilliseconds: 1 }],
        leavingTargets: [],
      }),
      createHello: (wantsReply) => ({
        kind: 'hello',
        sender: createPeerDescription(name, { zone: 'near' }),
        wantsReply,
        wantsPeers: false,
      }),
      members,
      directory,
      link: {
        send: (addresses, message) => {
          sent.push(...addresses.map((address) => ({ address, message })));
          return true;
        },
      },
      seeds: [],
      clock,
      random: createRandom(1),
      logger: silentLogger,
    });
    await advanceWithLiveMembers(known);
  }

  /** Advances some rounds in which every other member stays alive. */
  async function advanceWithLiveMembers(
    known: readonly Parameters<FleetMembers['applyDescription']>[0][],
  ) {
    await Array.from({ length: ROUNDS }).reduce<Promise<void>>(async (before) => {
      await before;
      known.forEach((one) => members.applyDescription(one));
      await clock.advance(HEARTBEAT_INTERVAL_MILLISECONDS);
    }, Promise.resolve());
  }

  function heartbeatsTo(prefix: string): readonly Extract<PeerMessage, { kind: 'beat' }>[] {
    return sent
      .filter(({ address }) => address.startsWith(prefix))
      .flatMap(({ message }) => (message.kind === 'beat' ? [message] : []));
  }

  /** The name of a daemon of the zone whose rank makes it an entry, or not. */
  function nameOf(isEntry: boolean): string {
    return Array.from({ length: MEMBERS_PER_ZONE }, (_, index) => `near${index}`).find((name) => {
      const fleet = new FleetMembers(
        () => createPeerDescription(name, { zone: 'near' }),
        clock,
        silentLogger,
        () => {},
      );
      Array.from({ length: MEMBERS_PER_ZONE }, (_, index) => `near${index}`)
        .filter((other) => other !== name)
        .forEach((other) => fleet.applyDescription(createPeerDescription(other, { zone: 'near' })));
      return new EntryDirectory(fleet, clock).isEntry() === isEntry;
    })!;
  }

  describe('of a daemon that serves no callers', () => {
    it('reaches other zones a quarter as often and announces the longer pause', async () => {
      await runRounds(nameOf(false));
      const near = heartbeatsTo('near').length / (MEMBERS_PER_ZONE - 1);
      const remote = heartbeatsTo('remote').length / MEMBERS_PER_ZONE;
      expect(near).toBeGreaterThanOrEqual(ROUNDS);
      expect(remote).toBeLessThanOrEqual(near / 4 + 1);
      expect(
        heartbeatsTo('remote').map(({ pauseMilliseconds }) => pauseMilliseconds),
      ).not.toContain(HEARTBEAT_INTERVAL_MILLISECONDS);
    });
  });

  describe('of a daemon that serves callers', () => {
    it('reaches the entries of other zones each time, with unhealthy targets less often', async () => {
      await runRounds(nameOf(true));
      const entry = directory.entryAddresses().find((address) => address.startsWith('remote'))!;
      expect(heartbeatsTo(entry).length).toBeGreaterThanOrEqual(ROUNDS);
      expect(
        heartbeatsTo(entry).filter(({ unhealthy }) => unhealthy.length > 0).length,
      ).toBeLessThanOrEqual(ROUNDS / 4 + 1);
      expect(heartbeatsTo('near').every(({ unhealthy }) => unhealthy.length > 0)).toBe(true);
    });
  });
});
