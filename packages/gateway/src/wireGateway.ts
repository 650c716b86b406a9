/** Constructs the parts of the direct data path and connects them. Nothing else constructs them. */
import type { Clock, Counters, Logger, Random, Stop } from '@cactusrun/core';
import { mergeStops, shuffle } from '@cactusrun/core';
import { CrashWatch } from '@cactusrun/requests';
import CallBook from './CallBook.js';
import type { CallerFieldNames } from './CallerServer.js';
import CallerServer from './CallerServer.js';
import EntryDirectory from './EntryDirectory.js';
import FleetMembers from './FleetMembers.js';
import type { GatewayConfiguration } from './GatewayConfiguration.js';
import GatewayState from './GatewayState.js';
import type { GatewayStore } from './GatewayStore.js';
import { startHeartbeat } from './Heartbeat.js';
import OutstandingCalls from './OutstandingCalls.js';
import { startPeerDiscovery } from './PeerDiscovery.js';
import PeerLink from './PeerLink.js';
import type { DaemonState, PeerDescription, PeerMessage } from './PeerMessage.js';
import { fetchPeerState, servePeerState } from './PeerStateServer.js';
import RequestProxy from './RequestProxy.js';
import type { RetryBudgetTerms } from './RetryAllowance.js';
import RetryAllowance from './RetryAllowance.js';
import ServiceTimes from './ServiceTimes.js';
import { DEFAULT_SICKNESS_RATES } from './SicknessBelief.js';
import StateFollower from './StateFollower.js';
import type { TargetFieldNames } from './TargetCall.js';
import TargetConnections from './TargetConnections.js';
import TargetPicker from './TargetPicker.js';
import TargetTable from './TargetTable.js';

/** Members that are told of a new one at once. */
const TOLD_OF_NEW_MEMBER = 8;

/** Times of a graceful stop, from the signal on. */
export interface StopTimes {
  /** New connections and requests are still taken for this long. */
  readonly servingMilliseconds: number;
  /** Whatever still runs is cut after this long. */
  readonly totalMilliseconds: number;
}

export interface GatewayOptions {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly regions: Readonly<Record<string, string>>;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
  readonly capacity: number;
  readonly retryBudget: RetryBudgetTerms;
  readonly stopTimes: StopTimes;
  readonly targetFields: TargetFieldNames;
  readonly callerFields: CallerFieldNames;
  readonly store: GatewayStore;
  readonly decode: (document: string) => GatewayConfiguration;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
}

export interface Gateway {
  /** Whether callers may be sent here. */
  isReady(): boolean;
  /** Addresses for callers of a zone. */
  addressesFor(zone: string): readonly string[];
  /** Leaves gracefully. */
  readonly stop: Stop;
}

interface World {
  readonly targets: TargetTable;
  readonly outstanding: OutstandingCalls;
  readonly connections: TargetConnections;
  readonly times: ServiceTimes;
  readonly members: FleetMembers;
  readonly state: GatewayState;
}

/** Starts the data path. @throws CactusrunError when an address cannot be bound */
export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const { clock, counters, logger, random } = options;
  const incarnation = clock.wallNow();
  let daemonState: DaemonState = 'starting';
  const describeSelf = (): PeerDescription => ({
    name: options.name,
    incarnation,
    address: options.peerAddress,
    callerAddress: options.callerAddress,
    zone: options.zone,
    region: options.region,
    state: daemonState,
    capacity: options.capacity,
  });
  const world = buildWorld(options, describeSelf);
  const { members, state, outstanding } = world;
  const handlers: PeerHandlers = {};
  const link = new PeerLink(options.peerAddress, counters, logger, (message, from) => {
    dispatch(handlers, message, from);
  });
  const crashes = new CrashWatch(clock, counters, (fingerprint, crashed) => {
    const message = { kind: 'crash', sender: options.name, fingerprint, crashes: crashed } as const;
    link.send(members.liveAddresses(), message);
  });
  const directory = new EntryDirectory(members, clock);
  const calls = new CallBook(
    options.name,
    world.targets,
    outstanding,
    directory,
    link,
    clock,
    counters,
    logger,
  );
  const follower = new StateFollower({
    store: options.store,
    state,
    members,
    link,
    fetchState: fetchPeerState,
    clock,
    random,
    logger,
    selfName: options.name,
  });
  const proxy = buildProxy(options, world, calls, crashes);
  const server = new CallerServer({
    address: options.callerAddress,
    names: options.callerFields,
    clock,
    random,
    counters,
    limits: () => state.configuration?.limits,
    handle: async (call) => {
      const { configuration } = state;
      if (configuration !== undefined) server.applyLimits(configuration.limits);
      return proxy.handle(call);
    },
  });
  const describeHello = (wantsReply: boolean): Extract<PeerMessage, { kind: 'hello' }> => ({
    kind: 'hello',
    sender: describeSelf(),
    wantsReply,
  });
  const noteReadiness = () => {
    if (daemonState !== 'starting' || !state.isComplete) return;
    daemonState = 'ready';
    link.send(members.liveAddresses(), describeHello(false));
  };
  const describeBeat = (): Extract<PeerMessage, { kind: 'beat' }> => {
    noteReadiness();
    return {
      kind: 'beat',
      sender: options.name,
      incarnation,
      versions: state.versions(),
      outstanding: outstanding.listOwn(),
      sick: world.targets.sick(),
    };
  };
  Object.assign(handlers, {
    hello: (message, from) => {
      const isNew = members.hear(message.sender);
      if (isNew || message.wantsReply) link.send([from], describeHello(false));
      if (!isNew) return;
      const all = [...members.known(), ...members.liveAndSelf()];
      link.send([from], { kind: 'peers', sender: options.name, peers: all });
      const { address, region } = message.sender;
      const some = shuffle(random, members.liveAddresses()).slice(0, TOLD_OF_NEW_MEMBER);
      link.send(some, { kind: 'peers', sender: options.name, peers: [{ address, region }] });
    },
    beat: (message, from) => {
      if (!members.hearBeat(message.sender, message.incarnation)) {
        link.send([from], describeHello(true));
        return;
      }
      outstanding.learnAll(message.sender, message.outstanding);
      world.targets.learnSick(message.sick);
      follower.compare(message.versions, message.sender);
    },
    peers: (message) => link.send(members.remember(message.peers), describeHello(true)),
    calls: (message) => {
      members.noteReport(message.sender);
      calls.hear(message.sender, message.reports);
    },
    news: (message) => follower.hearNews(message),
    crash: (message) => crashes.learn(message.fingerprint, message.crashes),
  } satisfies PeerHandlers);
  const stopPeerState = await servePeerState(options.peerAddress, () =>
    state.copy([...members.known(), ...members.liveAndSelf()]),
  );
  const stopLink = await link.start();
  const stopHeartbeat = startHeartbeat({
    name: options.name,
    random,
    beat: describeBeat,
    hello: () => describeHello(members.live().length === 0),
    members,
    link,
    seeds: options.seeds.filter((seed) => seed !== options.peerAddress),
    clock,
  });
  const stopFollower = follower.start();
  const stopDiscovery = startPeerDiscovery({
    name: options.name,
    address: options.peerAddress,
    store: options.store,
    members,
    clock,
    logger,
  });
  await server.start();
  const stopServer = async () => {
    daemonState = 'leaving';
    link.send(members.liveAddresses(), describeHello(false));
    await leave(server, options);
    world.connections.close();
  };
  return {
    isReady: () => {
      noteReadiness();
      return daemonState === 'ready';
    },
    addressesFor: (zone) => directory.addressesFor(zone),
    stop: mergeStops([
      stopPeerState,
      stopLink,
      stopHeartbeat,
      stopFollower,
      stopDiscovery,
      stopServer,
    ]),
  };
}

type PeerHandlers = {
  [Kind in PeerMessage['kind']]?: (
    message: Extract<PeerMessage, { kind: Kind }>,
    from: string,
  ) => void;
};

function dispatch(handlers: PeerHandlers, message: PeerMessage, from: string): void {
  const handler = handlers[message.kind] as
    ((message: PeerMessage, from: string) => void) | undefined;
  handler?.(message, from);
}

function buildWorld(options: GatewayOptions, describeSelf: () => PeerDescription): World {
  const { clock, counters, logger } = options;
  const targets = new TargetTable(clock, DEFAULT_SICKNESS_RATES);
  const outstanding = new OutstandingCalls();
  const connections = new TargetConnections(options.targetFields, clock, counters);
  const times = new ServiceTimes();
  const members = new FleetMembers(describeSelf, clock, logger, (name) =>
    outstanding.forgetPeer(name),
  );
  const state = new GatewayState(options.decode, targets, clock, logger, (changes) => {
    changes.forEach((change) => {
      if (change.kind !== 'removed') return;
      connections.forget(change.id);
      outstanding.forgetTarget(change.id);
      times.forget(change.id);
    });
  });
  return { targets, outstanding, connections, times, members, state };
}

function buildProxy(
  options: GatewayOptions,
  world: World,
  calls: CallBook,
  crashes: CrashWatch,
): RequestProxy {
  const { clock, random, counters, logger } = options;
  const allowances = new Map<string, RetryAllowance>();
  const allowanceOf = (service: string) => {
    const known =
      allowances.get(service) ??
      new RetryAllowance(options.retryBudget, () => world.members.countFleet());
    allowances.set(service, known);
    return known;
  };
  const picker = new TargetPicker(
    { zone: options.zone, region: options.region },
    (zone) => options.regions[zone],
    world.targets,
    world.outstanding,
    world.times,
    clock,
    random,
  );
  return new RequestProxy({
    state: world.state,
    picker,
    calls,
    connections: world.connections,
    times: world.times,
    crashes,
    allowanceOf,
    clock,
    random,
    counters,
    logger,
  });
}

/** Serves on for a while, then takes nothing new and lets what runs come to its end. */
async function leave(server: CallerServer, options: GatewayOptions): Promise<void> {
  const { clock, logger, stopTimes } = options;
  const startedAt = clock.now();
  server.beginLeaving();
  await clock.sleep(stopTimes.servingMilliseconds);
  const left = Math.max(0, stopTimes.totalMilliseconds - stopTimes.servingMilliseconds);
  await Promise.race([server.finish(), clock.sleep(left)]);
  logger.info('leaving-done', {
    requestsCut: server.requestsInFlight,
    milliseconds: Math.round(clock.now() - startedAt),
  });
  server.closeNow();
}
