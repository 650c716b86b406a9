/** Tells the members of the region that this daemon lives, what it knows and what it has running. */
import type { Clock, Stop } from '@cactusrun/core';
import { repeatUntilAborted, startTask } from '@cactusrun/core';
import type FleetMembers from './FleetMembers.js';
import { BEAT_MILLISECONDS } from './FleetMembers.js';
import type { PeerSender } from './PeerLink.js';
import type { PeerMessage } from './PeerMessage.js';

/** Pause between heartbeats of a daemon that knows no member yet. */
const LONELY_MILLISECONDS = 100;
/** Every this many beats the daemon describes itself anew, also to those that the settings name. */
const HELLO_BEATS = 8;

export interface HeartbeatParts {
  readonly beat: () => Extract<PeerMessage, { kind: 'beat' }>;
  readonly hello: () => Extract<PeerMessage, { kind: 'hello' }>;
  readonly members: FleetMembers;
  readonly link: PeerSender;
  /** Addresses of daemons that the settings name. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
}

/** Sends heartbeats until the returned function is called. */
export function startHeartbeat(parts: HeartbeatParts): Stop {
  const { beat, hello, members, link, seeds, clock } = parts;
  let beats = 0;
  return startTask(
    (signal) =>
      repeatUntilAborted(signal, async () => {
        members.expire();
        const live = members.liveAddresses();
        const isLonely = live.length === 0;
        if (isLonely || beats % HELLO_BEATS === 0) {
          const further = isLonely ? members.listAddresses() : [];
          link.send([...new Set([...live, ...seeds, ...further])], hello());
        }
        link.send(live, beat());
        beats += 1;
        await clock.sleep(isLonely ? LONELY_MILLISECONDS : BEAT_MILLISECONDS, signal);
      }),
    () => {},
  );
}
