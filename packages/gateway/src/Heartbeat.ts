/** Tells the members of the region that this daemon lives, what it knows and what it has running. */
import type { Clock, Random, Stop } from '@cactusrun/core';
import { repeatUntilAborted, shuffle, startTask } from '@cactusrun/core';
import type FleetMembers from './FleetMembers.js';
import { BEAT_MILLISECONDS } from './FleetMembers.js';
import type { PeerSender } from './PeerLink.js';
import type { PeerMessage } from './PeerMessage.js';

/** Pause between heartbeats of a daemon that knows no member yet. */
const LONELY_MILLISECONDS = 100;
/** Every this many beats the daemon describes itself anew, also to those that the settings name. */
const HELLO_BEATS = 8;
/** Every this many beats some daemons that fell silent are tried again. */
const LOST_BEATS = 2;
const LOST_PEERS = 4;
/** Every this many beats some members are told of all others. */
const GOSSIP_BEATS = 4;
const GOSSIP_PEERS = 2;

export interface HeartbeatParts {
  readonly name: string;
  readonly beat: () => Extract<PeerMessage, { kind: 'beat' }>;
  readonly hello: () => Extract<PeerMessage, { kind: 'hello' }>;
  readonly members: FleetMembers;
  readonly link: PeerSender;
  /** Addresses of daemons that the settings name. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly random: Random;
}

/** Sends heartbeats until the returned function is called. */
export function startHeartbeat(parts: HeartbeatParts): Stop {
  const { name, beat, hello, members, link, seeds, clock, random } = parts;
  let beats = 0;
  return startTask(
    (signal) =>
      repeatUntilAborted(signal, async () => {
        members.expire();
        const live = members.liveAddresses();
        const isLonely = live.length === 0;
        if (isLonely || beats % HELLO_BEATS === 0) link.send([...live, ...seeds], hello());
        const lost = shuffle(random, members.lost()).slice(0, LOST_PEERS);
        if (isLonely || beats % LOST_BEATS === 0) link.send(lost, hello());
        if (beats % GOSSIP_BEATS === 0) {
          const some = shuffle(random, live).slice(0, GOSSIP_PEERS);
          link.send(some, { kind: 'peers', sender: name, peers: members.liveAndSelf() });
        }
        link.send(live, beat());
        beats += 1;
        await clock.sleep(isLonely ? LONELY_MILLISECONDS : BEAT_MILLISECONDS, signal);
      }),
    () => {},
  );
}
