/**
 * Tells the members of the region that this daemon lives, what it knows and what it has running.
 * Members of the own availability zone, and daemons that serve callers among each other, hear it
 * often; the others seldom, since bytes between zones are paid for.
 */
import type { Clock, Random, Stop } from '@cactusrun/core';
import { repeatUntilAborted, shuffle, startTask } from '@cactusrun/core';
import type EntryDirectory from './EntryDirectory.js';
import type FleetMembers from './FleetMembers.js';
import { BEAT_MILLISECONDS, REMOTE_BEATS } from './FleetMembers.js';
import type { PeerSender } from './PeerLink.js';
import type { PeerMessage } from './PeerMessage.js';

/** Pause between heartbeats of a daemon that knows no member yet. */
const LONELY_MILLISECONDS = 100;
const REMOTE_MILLISECONDS = BEAT_MILLISECONDS * REMOTE_BEATS;
/** Every this many beats the daemon describes itself anew, also to those that the settings name. */
const HELLO_BEATS = 8;
/** Every this many beats some daemons that fell silent are tried again. */
const LOST_BEATS = 2;
const LOST_PEERS = 4;
/** Every this many beats some members are told of all others. */
const GOSSIP_BEATS = 8;
const GOSSIP_PEERS = 2;

type Beat = Extract<PeerMessage, { kind: 'beat' }>;

export interface HeartbeatParts {
  readonly name: string;
  /** The present heartbeat but for the time until the next one. */
  readonly beat: () => Omit<Beat, 'pauseMilliseconds'>;
  readonly hello: () => Extract<PeerMessage, { kind: 'hello' }>;
  readonly members: FleetMembers;
  readonly directory: EntryDirectory;
  readonly link: PeerSender;
  /** Addresses of daemons that the settings name. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
}

class Heartbeat {
  private beats = 0;

  private wasEntry = false;

  constructor(private readonly parts: HeartbeatParts) {}

  public async step(signal: AbortSignal): Promise<void> {
    const { members, clock } = this.parts;
    members.expire();
    const isLonely = members.live().length === 0;
    this.introduce(isLonely);
    this.gossip();
    this.beat();
    this.beats += 1;
    await clock.sleep(isLonely ? LONELY_MILLISECONDS : BEAT_MILLISECONDS, signal);
  }

  /** Describes this daemon to those that may not know it. */
  private introduce(isLonely: boolean): void {
    const { members, link, seeds, hello, random } = this.parts;
    if (isLonely || this.beats % HELLO_BEATS === 0) {
      link.send([...members.nearAddresses(), ...seeds], hello());
    }
    if (!isLonely && this.beats % LOST_BEATS !== 0) return;
    link.send(shuffle(random, members.lost()).slice(0, LOST_PEERS), hello());
  }

  private gossip(): void {
    const { name, members, link, random } = this.parts;
    if (this.beats % GOSSIP_BEATS !== 0) return;
    const some = shuffle(random, members.liveAddresses()).slice(0, GOSSIP_PEERS);
    link.send(some, { kind: 'peers', sender: name, peers: members.liveAndSelf() });
  }

  private beat(): void {
    const { members, directory, link, beat } = this.parts;
    const isEntry = directory.isEntry();
    const isRoleNew = isEntry !== this.wasEntry;
    this.wasEntry = isEntry;
    const near = new Set(members.nearAddresses());
    const isRemote = (address: string) => !near.has(address);
    const entries = isEntry ? directory.entryAddresses().filter(isRemote) : [];
    const full = beat();
    link.send([...near], { ...full, pauseMilliseconds: BEAT_MILLISECONDS });
    const isFullRound = isRoleNew || this.beats % REMOTE_BEATS === 0;
    const toEntries = isFullRound ? full : { ...full, sick: [] };
    link.send(entries, { ...toEntries, pauseMilliseconds: BEAT_MILLISECONDS });
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
