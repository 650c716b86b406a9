/** Connects the components of the direct data path and starts them. */
import type { Stop } from '@cactusrun/core';
import { mergeStops } from '@cactusrun/core';
import { CrashTracker } from '@cactusrun/requests';
import type CallerServer from '../callers/CallerServer.js';
import AttemptTracker from '../health/AttemptTracker.js';
import type { GatewayOptions } from './GatewayOptions.js';
import type { SharedState } from './GatewayParts.js';
import { buildProxy, buildServer, buildSharedState } from './GatewayParts.js';
import { startHeartbeat } from '../fleet/Heartbeat.js';
import LocalDaemon from '../fleet/LocalDaemon.js';
import announceReachability from '../reachability/announceReachability.js';
import { startPeerDiscovery } from '../fleet/PeerDiscovery.js';
import type { PeerHandlers } from '../fleet/peerHandlers.js';
import { createPeerHandlers, dispatchPeerMessage } from '../fleet/peerHandlers.js';
import PeerLink from '../fleet/PeerLink.js';
import { fetchPeerState, servePeerState } from '../state/PeerStateServer.js';
import shutDownGracefully from '../callers/shutDownGracefully.js';
import RegionUseExchange from '../limits/RegionUseExchange.js';
import StateFollower from '../state/StateFollower.js';

export interface Gateway {
  /** Whether callers may be directed here. */
  isReady(): boolean;
  /** Addresses for callers of a zone. */
  addressesFor(zone: string): readonly string[];
  /** Shuts down gracefully. */
  readonly stop: Stop;
}

interface Links {
  readonly link: PeerLink;
  readonly attemptTracker: AttemptTracker;
  readonly crashes: CrashTracker;
  readonly regionUse: RegionUseExchange;
  readonly follower: StateFollower;
}

/**
 * Starts the data path.
 *
 * @throws CactusrunError when an address cannot be bound
 */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const daemon = new LocalDaemon(options);
  const sharedState = buildSharedState(options, () => daemon.describe());
  const links = buildLinks(options, daemon, sharedState);
  const { link } = links;
  const { members, connections, peerConnections, directory } = sharedState;
  const servers = buildServers(options, sharedState, links);
  const stopLinks = await startLinks(options, daemon, sharedState, links);
  await Promise.all(servers.map((server) => server.start()));
  const stopServers = async () => {
    daemon.beginShutdown(members, link);
    await Promise.all(servers.map((server) => shutDownGracefully(server, options)));
    connections.close();
    peerConnections.close();
  };
  return {
    isReady: () => daemon.checkReady(sharedState, link),
    addressesFor: (zone) => directory.addressesFor(zone),
    stop: mergeStops([stopLinks, stopServers]),
  };
}

/** The server of callers, and that of requests which peers relay. */
function buildServers(
  options: GatewayOptions,
  sharedState: SharedState,
  { attemptTracker, crashes }: Links,
): readonly CallerServer[] {
  const proxy = buildProxy(options, sharedState, attemptTracker, crashes);
  return [
    { address: options.callerAddress, isForPeers: false },
    { address: options.relayAddress, isForPeers: true },
  ].map((role) => buildServer(options, sharedState, proxy, role));
}

function buildLinks(options: GatewayOptions, daemon: LocalDaemon, sharedState: SharedState): Links {
  const { name, clock, counters, logger, random } = options;
  const { members, state } = sharedState;
  // Messages arrive only after the link is started, when the handlers are set.
  let handlers: PeerHandlers | undefined;
  const link = new PeerLink(options.peerAddress, counters, logger, (message, from) => {
    if (handlers !== undefined) dispatchPeerMessage(handlers, message, from);
  });
  const crashes = new CrashTracker(clock, counters, (fingerprint, crashed) => {
    const message = { kind: 'crash', sender: name, fingerprint, crashes: crashed } as const;
    link.send(members.liveAddresses(), message);
  });
  const attemptTracker = new AttemptTracker({
    ...sharedState,
    selfName: name,
    link,
    clock,
    counters,
    logger,
  });
  const regionUse = new RegionUseExchange({
    ...sharedState,
    describeSelf: () => daemon.describe(),
    regions: options.regions,
    reportToPeers: () => attemptTracker.reportUse(),
    link,
    clock,
    random,
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
  const parts = {
    name,
    daemon,
    sharedState,
    link,
    attemptTracker,
    crashes,
    regionUse,
    follower,
    random,
  };
  handlers = createPeerHandlers(parts);
  return { link, attemptTracker, crashes, regionUse, follower };
}

async function startLinks(
  options: GatewayOptions,
  daemon: LocalDaemon,
  sharedState: SharedState,
  { link, regionUse, follower }: Links,
): Promise<Stop> {
  const { name, peerAddress, store, clock, logger, random } = options;
  const { members, directory, state, reachability, lostTargets } = sharedState;
  const takeSnapshot = () => state.snapshot(members.knownAndSelf());
  const stopPeerState = await servePeerState(peerAddress, takeSnapshot, clock, options.counters);
  const stopLink = await link.start();
  const stopHeartbeat = startHeartbeat({
    name,
    createHeartbeat: () => {
      daemon.checkReady(sharedState, link);
      return daemon.createHeartbeat(sharedState);
    },
    createHello: (wantsReply) => {
      const isAlone = members.live().length === 0;
      return daemon.createHello(isAlone || wantsReply, isAlone);
    },
    members,
    directory,
    link,
    logger,
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
    regionUse.start(),
    startPeerDiscovery(discovery),
    reachability.start(),
    lostTargets.start(),
    announceReachability(reachability, clock, (isCutOff) =>
      daemon.announceCutOff(isCutOff, members, link),
    ),
  ]);
}
