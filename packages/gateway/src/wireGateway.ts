/** Constructs the parts of the direct data path and connects them. Nothing else constructs them. */
import type { Stop } from '@cactusrun/core';
import { mergeStops } from '@cactusrun/core';
import { CrashWatch } from '@cactusrun/requests';
import CallBook from './CallBook.js';
import EntryDirectory from './EntryDirectory.js';
import type { GatewayOptions } from './GatewayOptions.js';
import type { Knowledge } from './GatewayParts.js';
import { buildCallerServer, buildKnowledge } from './GatewayParts.js';
import { startHeartbeat } from './Heartbeat.js';
import leaveGracefully from './leaveGracefully.js';
import LocalDaemon from './LocalDaemon.js';
import { startPeerDiscovery } from './PeerDiscovery.js';
import type { PeerHandlers } from './peerHandlers.js';
import { createPeerHandlers, dispatchPeerMessage } from './peerHandlers.js';
import PeerLink from './PeerLink.js';
import { fetchPeerState, servePeerState } from './PeerStateServer.js';
import StateFollower from './StateFollower.js';

export interface Gateway {
  /** Whether callers may be sent here. */
  isReady(): boolean;
  /** Addresses for callers of a zone. */
  addressesFor(zone: string): readonly string[];
  /** Leaves gracefully. */
  readonly stop: Stop;
}

interface Links {
  readonly link: PeerLink;
  readonly directory: EntryDirectory;
  readonly calls: CallBook;
  readonly crashes: CrashWatch;
  readonly follower: StateFollower;
}

/**
 * Starts the data path.
 *
 * @throws CactusrunError when an address cannot be bound
 */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const daemon = new LocalDaemon(options);
  const knowledge = buildKnowledge(options, () => daemon.describe());
  const links = buildLinks(options, daemon, knowledge);
  const { link, directory } = links;
  const { members, connections } = knowledge;
  const server = buildCallerServer(options, knowledge, links.calls, links.crashes);
  const stopLinks = await startLinks(options, daemon, knowledge, links);
  await server.start();
  const stopServer = async () => {
    daemon.beginLeaving(members, link);
    await leaveGracefully(server, options);
    connections.close();
  };
  return {
    isReady: () => daemon.checkReady(knowledge, link),
    addressesFor: (zone) => directory.addressesFor(zone),
    stop: mergeStops([stopLinks, stopServer]),
  };
}

function buildLinks(options: GatewayOptions, daemon: LocalDaemon, knowledge: Knowledge): Links {
  const { name, clock, counters, logger, random } = options;
  const { members, state, targets, outstanding, failures, idleReuse, allowances } = knowledge;
  // Messages arrive only after the link is started, when the handlers are there.
  let handlers: PeerHandlers | undefined;
  const link = new PeerLink(options.peerAddress, counters, logger, (message, from) => {
    if (handlers !== undefined) dispatchPeerMessage(handlers, message, from);
  });
  const crashes = new CrashWatch(clock, counters, (fingerprint, crashed) => {
    const message = { kind: 'crash', sender: name, fingerprint, crashes: crashed } as const;
    link.send(members.liveAddresses(), message);
  });
  const directory = new EntryDirectory(members, clock);
  const calls = new CallBook({
    selfName: name,
    targets,
    outstanding,
    failures,
    idleReuse,
    allowances,
    directory,
    link,
    clock,
    counters,
    logger,
  });
  const follower = new StateFollower({
    store: options.store,
    state,
    members,
    link,
    fetchState: fetchPeerState,
    clock,
    random,
    logger,
    selfName: name,
    isFleetStart: options.isFleetStart,
  });
  const parts = { name, daemon, knowledge, link, calls, crashes, follower, random };
  handlers = createPeerHandlers(parts);
  return { link, directory, calls, crashes, follower };
}

async function startLinks(
  options: GatewayOptions,
  daemon: LocalDaemon,
  knowledge: Knowledge,
  { link, follower, directory }: Links,
): Promise<Stop> {
  const { name, peerAddress, store, clock, logger, random } = options;
  const { members, state } = knowledge;
  const copyState = () => state.copy([...members.known(), ...members.liveAndSelf()]);
  const stopPeerState = await servePeerState(peerAddress, copyState, clock, options.counters);
  const stopLink = await link.start();
  const stopHeartbeat = startHeartbeat({
    name,
    beat: () => {
      daemon.checkReady(knowledge, link);
      return daemon.beat(knowledge, directory.isEntry());
    },
    hello: () => daemon.hello(members.live().length === 0),
    members,
    directory,
    link,
    seeds: options.seeds.filter((seed) => seed !== peerAddress),
    clock,
    random,
  });
  const discovery = { name, address: peerAddress, store, members, clock, logger };
  return mergeStops([
    stopPeerState,
    stopLink,
    stopHeartbeat,
    follower.start(),
    startPeerDiscovery(discovery),
  ]);
}
