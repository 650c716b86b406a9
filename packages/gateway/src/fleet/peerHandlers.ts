/** The handlers of a daemon for each kind of message from its peers. */
import type { Random } from '@cactusrun/core';
import { shuffle } from '@cactusrun/core';
import type { CrashTracker } from '@cactusrun/requests';
import type AttemptTracker from '../health/AttemptTracker.js';
import type { SharedState } from '../wiring/GatewayParts.js';
import type RegionUseExchange from '../limits/RegionUseExchange.js';
import type FleetMembers from './FleetMembers.js';
import type LocalDaemon from './LocalDaemon.js';
import type { PeerSender } from './PeerLink.js';
import type { LeavingTarget, PeerMessage, PeerMessageKind } from './PeerMessage.js';
import type StateFollower from '../state/StateFollower.js';

/** Members to which a new one is announced at once. */
const NEW_MEMBER_RECIPIENTS = 8;
/** Addresses in one message, well below the largest datagram. */
const ADDRESSES_PER_MESSAGE = 150;

/** @param from - `ip:port` of the sender */
type PeerHandler<Kind extends PeerMessageKind> = (
  message: Extract<PeerMessage, { kind: Kind }>,
  from: string,
) => void;

export type PeerHandlers = { readonly [Kind in PeerMessageKind]: PeerHandler<Kind> };

export interface PeerHandlerParts {
  readonly name: string;
  readonly daemon: LocalDaemon;
  readonly sharedState: SharedState;
  readonly link: PeerSender;
  readonly attemptTracker: AttemptTracker;
  readonly crashes: CrashTracker;
  readonly regionUse: Pick<RegionUseExchange, 'receive'>;
  readonly follower: StateFollower;
  readonly random: Random;
}

export function createPeerHandlers(parts: PeerHandlerParts): PeerHandlers {
  const { name, daemon, sharedState, link, attemptTracker, crashes, follower, random } = parts;
  const { regionUse } = parts;
  const { members, outstanding, targets, rateLimits, leavingTargets, quotas } = sharedState;
  const recordLeaving = (told: readonly LeavingTarget[], peer: string) =>
    told.forEach((leavingTarget) => leavingTargets.record(leavingTarget, peer));
  return {
    hello: (message, from) => {
      const isNew = members.applyDescription(message.sender);
      if (isNew || message.wantsReply) link.send([from], daemon.createHello(false));
      // Only a daemon that knows nobody gets the addresses: if each new acquaintance sent them, the
      // bytes at the start of a fleet would grow with the cube of its size.
      if (!message.wantsPeers) return;
      sendAddresses(link, from, name, members);
      if (!isNew) return;
      const { address, region } = message.sender;
      const recipients = shuffle(random, members.liveAddresses()).slice(0, NEW_MEMBER_RECIPIENTS);
      link.send(recipients, { kind: 'peers', sender: name, peers: [{ address, region }] });
    },
    beat: (message, from) => {
      if (!members.applyHeartbeat(message)) {
        link.send([from], daemon.createHello(true));
        return;
      }
      quotas.recordHeard(message.sender);
      outstanding.replacePeerCounts(message.sender, message.outstanding);
      targets.applyUnhealthyReports(message.unhealthy);
      rateLimits.applyReports(message.rateLimits, message.sender);
      recordLeaving(message.leavingTargets, message.sender);
      follower.compareVersions(message.versions, message.sender);
    },
    peers: (message) => link.send(members.addAddresses(message.peers), daemon.createHello(true)),
    calls: (message) => {
      members.recordReport(message.sender);
      quotas.recordHeard(message.sender);
      if (message.use !== undefined) quotas.applyReport(message.sender, message.use);
      attemptTracker.applyReports(message.sender, message.reports);
    },
    'region-use': (message, from) => regionUse.receive(message, from),
    news: (message) => follower.applyUpdate(message),
    'leaving-targets': (message) => recordLeaving(message.leavingTargets, message.sender),
    crash: (message) => crashes.applyReport(message.fingerprint, message.crashes),
  };
}

/** Sends all known addresses, in messages that fit into a datagram. */
function sendAddresses(link: PeerSender, to: string, name: string, members: FleetMembers): void {
  const peers = members.knownAndSelf();
  const messages = Math.ceil(peers.length / ADDRESSES_PER_MESSAGE);
  Array.from({ length: messages }, (_, index) => index * ADDRESSES_PER_MESSAGE).forEach((start) => {
    const part = peers.slice(start, start + ADDRESSES_PER_MESSAGE);
    link.send([to], { kind: 'peers', sender: name, peers: part });
  });
}

/** Passes a message to the handler of its kind. */
export function dispatchPeerMessage(
  handlers: PeerHandlers,
  message: PeerMessage,
  from: string,
): void {
  const handle = handlers[message.kind] as (message: PeerMessage, from: string) => void;
  handle(message, from);
}
