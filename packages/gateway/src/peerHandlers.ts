/** What a daemon does with each kind of message of its peers. */
import type { Random } from '@cactusrun/core';
import { shuffle } from '@cactusrun/core';
import type { CrashWatch } from '@cactusrun/requests';
import type CallBook from './CallBook.js';
import type { Knowledge } from './GatewayParts.js';
import type LocalDaemon from './LocalDaemon.js';
import type { PeerSender } from './PeerLink.js';
import type { PeerMessage, PeerMessageKind } from './PeerMessage.js';
import type StateFollower from './StateFollower.js';

/** Members that are told of a new one at once. */
const TOLD_OF_NEW_MEMBER = 8;

/** @param from - `ip:port` of the sender */
type PeerHandler<Kind extends PeerMessageKind> = (
  message: Extract<PeerMessage, { kind: Kind }>,
  from: string,
) => void;

export type PeerHandlers = { readonly [Kind in PeerMessageKind]: PeerHandler<Kind> };

export interface PeerHandlerParts {
  readonly name: string;
  readonly daemon: LocalDaemon;
  readonly knowledge: Knowledge;
  readonly link: PeerSender;
  readonly calls: CallBook;
  readonly crashes: CrashWatch;
  readonly follower: StateFollower;
  readonly random: Random;
}

export function createPeerHandlers(parts: PeerHandlerParts): PeerHandlers {
  const { name, daemon, knowledge, link, calls, crashes, follower, random } = parts;
  const { members, outstanding, targets } = knowledge;
  return {
    hello: (message, from) => {
      const isNew = members.hear(message.sender);
      if (isNew || message.wantsReply) link.send([from], daemon.hello(false));
      if (!isNew) return;
      const all = [...members.known(), ...members.liveAndSelf()];
      link.send([from], { kind: 'peers', sender: name, peers: all });
      const { address, region } = message.sender;
      const some = shuffle(random, members.liveAddresses()).slice(0, TOLD_OF_NEW_MEMBER);
      link.send(some, { kind: 'peers', sender: name, peers: [{ address, region }] });
    },
    beat: (message, from) => {
      if (!members.hearBeat(message)) {
        link.send([from], daemon.hello(true));
        return;
      }
      outstanding.learnAll(message.sender, message.outstanding);
      targets.learnSick(message.sick);
      follower.compare(message.versions, message.sender);
    },
    peers: (message) => link.send(members.remember(message.peers), daemon.hello(true)),
    calls: (message) => {
      members.noteReport(message.sender);
      calls.hear(message.sender, message.reports);
    },
    news: (message) => follower.hearNews(message),
    crash: (message) => crashes.learn(message.fingerprint, message.crashes),
  };
}

/** Hands a message to the handler of its kind. */
export function dispatchPeerMessage(
  handlers: PeerHandlers,
  message: PeerMessage,
  from: string,
): void {
  const handle = handlers[message.kind] as (message: PeerMessage, from: string) => void;
  handle(message, from);
}
