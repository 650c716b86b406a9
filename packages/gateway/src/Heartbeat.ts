/** Tells the members of the region that this daemon lives, what it knows and what it has running. */
import type { Clock, Stop } from '@cactusrun/core';
import { repeatUntilAborted, startTask } from '@cactusrun/core';
import type FleetMembers from './FleetMembers.js';
import { BEAT_MILLISECONDS } from './FleetMembers.js';
import type { PeerSender } from './PeerLink.js';
import type { PeerMessage } from './PeerMessage.js';

/** Pause between heartbeats of a daemon that knows no member yet. */
const LONELY_MILLISECONDS = 100;
/** Every this many beats the addresses that the settings name are told too. */
const SEED_BEATS = 8;

export interface HeartbeatParts {
  readonly describe: () => Extract<PeerMessage, { kind: 'beat' }>;
  readonly members: FleetMembers;
  readonly link: PeerSender;
  /** Addresses of daemons that the settings name. */
  readonly seeds: readonly string[];
  readonly clock: Clock;
}

/** Sends heartbeats until the returned function is called. */
export function startHeartbeat(parts: HeartbeatParts): Stop {
  const { describe, members, link, seeds, clock } = parts;
  let beats = 0;
  return startTask(
    (signal) =>
      repeatUntilAborted(signal, async () => {
        members.expire();
        const live = members.liveAddresses();
        const isLonely = live.length === 0;
        const toSeeds = isLonely || beats % SEED_BEATS === 0;
        const further = toSeeds ? [...seeds, ...(isLonely ? members.listAddresses() : [])] : [];
        link.send([...new Set([...live, ...further])], describe());
        beats += 1;
        await clock.sleep(isLonely ? LONELY_MILLISECONDS : BEAT_MILLISECONDS, signal);
      }),
    () => {},
  );
}
