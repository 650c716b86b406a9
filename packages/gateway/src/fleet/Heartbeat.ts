/**
 * Announces to the members of the region that this daemon is alive, which versions it has and which
 * requests it has outstanding, and probes members that should have been heard.
 */
import type { Clock, Logger, Random, Stop } from '@cactusrun/core';
import { shuffle, startRepeatedTask } from '@cactusrun/core';
import type EntryDirectory from './EntryDirectory.js';
import type FleetMembers from './FleetMembers.js';
import { HEARTBEAT_INTERVAL_MILLISECONDS } from './FleetMembers.js';
import HeartbeatSchedule from './HeartbeatSchedule.js';
import type { PeerSender } from './PeerLink.js';
import type { PeerMessage } from './PeerMessage.js';

/** Pause between heartbeats of a daemon that knows no member yet. */
const DISCOVERY_MILLISECONDS = 100;
/** Every this many heartbeats the daemon describes itself to its seeds and to some members again. */
const HELLO_HEARTBEATS = 8;
const HELLO_PEERS = 12;
/** Every this many heartbeats some silent peers are contacted again. */
const SILENT_PEER_HEARTBEATS = 2;
const SILENT_PEERS = 4;
/** Every this many heartbeats some members receive the addresses of some others. */
const GOSSIP_HEARTBEATS = 8;
const GOSSIP_PEERS = 2;
const GOSSIP_ADDRESSES = 32;
/** A critical member is probed when it has been silent for this long. */
const PROBE_AFTER_MILLISECONDS = 2 * HEARTBEAT_INTERVAL_MILLISECONDS;

type HeartbeatMessage = Extract<PeerMessage, { kind: 'beat' }>;

export interface HeartbeatParts {
  readonly name: string;
  /** Creates the current heartbeat, without the time until the next one. */
  readonly createHeartbeat: () => Omit<HeartbeatMessage, 'pauseMilliseconds'>;
  /** @param wantsReply - whether the receiver should describe itself too */
  readonly createHello: (wantsReply: boolean) => Extract<PeerMessage, { kind: 'hello' }>;
  readonly members: FleetMembers;
  readonly directory: EntryDirectory;
  readonly link: PeerSender;
  /** Addresses of daemons that are named in the settings. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

class Heartbeat {
  private round = 0;

  private readonly schedule: HeartbeatSchedule;

  constructor(private readonly parts: HeartbeatParts) {
    this.schedule = new HeartbeatSchedule(parts.members, parts.directory);
  }

  public async step(signal: AbortSignal): Promise<void> {
    const { members, directory, clock } = this.parts;
    members.expire(directory.criticalMembers());
    const isAlone = members.live().length === 0;
    this.introduce(isAlone);
    this.gossip();
    this.probe();
    this.sendHeartbeats();
    this.round += 1;
    await clock.sleep(isAlone ? DISCOVERY_MILLISECONDS : HEARTBEAT_INTERVAL_MILLISECONDS, signal);
  }

  /** Describes this daemon to those that may not know it. */
  private introduce(isAlone: boolean): void {
    const { members, link, seeds, createHello, random } = this.parts;
    if (isAlone || this.round % HELLO_HEARTBEATS === 0) {
      const near = shuffle(random, members.zoneAddresses()).slice(0, HELLO_PEERS);
      link.send([...near, ...seeds], createHello(false));
    }
    if (!isAlone && this.round % SILENT_PEER_HEARTBEATS !== 0) return;
    const silent = shuffle(random, members.silentAddresses()).slice(0, SILENT_PEERS);
    link.send(silent, createHello(false));
  }

  private gossip(): void {
    const { name, members, link, random } = this.parts;
    if (this.round % GOSSIP_HEARTBEATS !== 0) return;
    const recipients = shuffle(random, members.liveAddresses()).slice(0, GOSSIP_PEERS);
    const peers = shuffle(random, members.liveAndSelf()).slice(0, GOSSIP_ADDRESSES);
    link.send(recipients, { kind: 'peers', sender: name, peers });
  }

  /** Probes critical members that are silent: they may not know that they are critical. */
  private probe(): void {
    const { members, directory, link, clock, createHello } = this.parts;
    const now = clock.now();
    const silent = [...directory.criticalMembers().keys()].flatMap((name) => {
      const member = members.get(name);
      const isSilent = member !== undefined && now - member.lastSeenAt > PROBE_AFTER_MILLISECONDS;
      return isSilent ? [member.description.address] : [];
    });
    if (silent.length > 0) link.send(silent, createHello(true));
  }

  private sendHeartbeats(): void {
    const { link, createHeartbeat } = this.parts;
    const full = createHeartbeat();
    this.schedule
      .recipientsIn(this.round)
      .filter(({ addresses }) => addresses.length > 0)
      .forEach(({ addresses, pauseMilliseconds, isFull }) => {
        const heartbeat = isFull
          ? full
          : { ...full, unhealthy: [], rateLimits: [], leavingTargets: [] };
        link.send(addresses, { ...heartbeat, pauseMilliseconds });
      });
  }
}

/** Sends heartbeats until the returned function is called. */
export function startHeartbeat(parts: HeartbeatParts): Stop {
  const heartbeat = new Heartbeat(parts);
  const { clock, logger } = parts;
  const step = (signal: AbortSignal) => heartbeat.step(signal);
  return startRepeatedTask({ name: 'heartbeat', step, clock, logger });
}
