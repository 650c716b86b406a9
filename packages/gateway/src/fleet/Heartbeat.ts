/**
 * Announces to the members of the region that this daemon is alive, which versions it has and which
 * requests it has outstanding. Members of the own availability zone, and daemons that serve callers
 * among each other, receive it often; the others rarely, since bytes between zones are paid for.
 */
import type { Clock, Random, Stop } from '@cactusrun/core';
import { repeatUntilAborted, shuffle, startTask } from '@cactusrun/core';
import type EntryDirectory from './EntryDirectory.js';
import type FleetMembers from './FleetMembers.js';
import {
  HEARTBEAT_INTERVAL_MILLISECONDS,
  HEARTBEATS_PER_REMOTE_HEARTBEAT,
} from './FleetMembers.js';
import type { PeerSender } from './PeerLink.js';
import type { PeerMessage } from './PeerMessage.js';

/** Pause between heartbeats of a daemon that knows no member yet. */
const DISCOVERY_MILLISECONDS = 100;
const REMOTE_MILLISECONDS = HEARTBEAT_INTERVAL_MILLISECONDS * HEARTBEATS_PER_REMOTE_HEARTBEAT;
/** Every this many heartbeats the daemon describes itself again, also to the seeds. */
const HELLO_HEARTBEATS = 8;
/** Every this many heartbeats some silent peers are contacted again. */
const SILENT_PEER_HEARTBEATS = 2;
const SILENT_PEERS = 4;
/** Every this many heartbeats some members receive the addresses of all others. */
const GOSSIP_HEARTBEATS = 8;
const GOSSIP_PEERS = 2;

type HeartbeatMessage = Extract<PeerMessage, { kind: 'beat' }>;

export interface HeartbeatParts {
  readonly name: string;
  /** Creates the current heartbeat, without the time until the next one. */
  readonly createHeartbeat: () => Omit<HeartbeatMessage, 'pauseMilliseconds'>;
  readonly createHello: () => Extract<PeerMessage, { kind: 'hello' }>;
  readonly members: FleetMembers;
  readonly directory: EntryDirectory;
  readonly link: PeerSender;
  /** Addresses of daemons that are named in the settings. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
}

class Heartbeat {
  private round = 0;

  private wasEntry = false;

  constructor(private readonly parts: HeartbeatParts) {}

  public async step(signal: AbortSignal): Promise<void> {
    const { members, clock } = this.parts;
    members.expire();
    const isAlone = members.live().length === 0;
    this.introduce(isAlone);
    this.gossip();
    this.sendHeartbeats();
    this.round += 1;
    await clock.sleep(isAlone ? DISCOVERY_MILLISECONDS : HEARTBEAT_INTERVAL_MILLISECONDS, signal);
  }

  /** Describes this daemon to those that may not know it. */
  private introduce(isAlone: boolean): void {
    const { members, link, seeds, createHello, random } = this.parts;
    if (isAlone || this.round % HELLO_HEARTBEATS === 0) {
      link.send([...members.zoneAddresses(), ...seeds], createHello());
    }
    if (!isAlone && this.round % SILENT_PEER_HEARTBEATS !== 0) return;
    link.send(shuffle(random, members.silentAddresses()).slice(0, SILENT_PEERS), createHello());
  }

  private gossip(): void {
    const { name, members, link, random } = this.parts;
    if (this.round % GOSSIP_HEARTBEATS !== 0) return;
    const recipients = shuffle(random, members.liveAddresses()).slice(0, GOSSIP_PEERS);
    link.send(recipients, { kind: 'peers', sender: name, peers: members.liveAndSelf() });
  }

  private sendHeartbeats(): void {
    const { members, directory, link, createHeartbeat } = this.parts;
    const isEntry = directory.isEntry();
    const hasRoleChanged = isEntry !== this.wasEntry;
    this.wasEntry = isEntry;
    const near = new Set(members.zoneAddresses());
    const isRemote = (address: string) => !near.has(address);
    const entries = isEntry ? directory.entryAddresses().filter(isRemote) : [];
    const full = createHeartbeat();
    link.send([...near], { ...full, pauseMilliseconds: HEARTBEAT_INTERVAL_MILLISECONDS });
    const isFullRound = hasRoleChanged || this.round % HEARTBEATS_PER_REMOTE_HEARTBEAT === 0;
    const heartbeatToEntries = isFullRound ? full : { ...full, unhealthy: [] };
    link.send(entries, {
      ...heartbeatToEntries,
      pauseMilliseconds: HEARTBEAT_INTERVAL_MILLISECONDS,
    });
    if (!isFullRound) return;
    const others = members
      .liveAddresses()
      .filter((address) => isRemote(address) && !entries.includes(address));
    link.send(others, { ...full, pauseMilliseconds: REMOTE_MILLISECONDS });
  }
}

/** Sends heartbeats until the returned function is called. */
export function startHeartbeat(parts: HeartbeatParts): Stop {
  const heartbeat = new Heartbeat(parts);
  return startTask(
    (signal) => repeatUntilAborted(signal, () => heartbeat.step(signal)),
    () => {},
  );
}
