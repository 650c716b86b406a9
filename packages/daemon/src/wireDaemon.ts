/** Wires the parts of one daemon together. Nothing else constructs them. */
import { randomBytes } from 'node:crypto';
import { ConfigurationStore, targetKey } from '@cactusrun/configuration';
import type { Clock, Host, Logger, Random, Stop, Target } from '@cactusrun/core';
import { Counters, createRandom, mergeStops, repeatUntilAborted, startTask } from '@cactusrun/core';
import { EjectionShares } from '@cactusrun/health';
import { Membership, openUdpTransport } from '@cactusrun/membership';
import { createScorer, KeeperIndex } from '@cactusrun/placement';
import { HttpPlatform, LogFollower, SnapshotWriter } from '@cactusrun/platform';
import {
  AcknowledgementSchema,
  CrashReportSchema,
  create,
  InspectReplySchema,
  ShardHandoverSchema,
  startPeerServer,
} from '@cactusrun/protocol';
import {
  CRASHES_TO_HOLD,
  CrashWatch,
  HOLD_MILLISECONDS,
  TicketIssuer,
  TicketLedger,
} from '@cactusrun/requests';
import CallerDirectory, { DIRECTORY_SECONDS } from './CallerDirectory.js';
import ChangeDesk from './ChangeDesk.js';
import ConfigurationSync from './ConfigurationSync.js';
import EntryServer from './EntryServer.js';
import HostWatcher from './HostWatcher.js';
import HttpTargetConnector from './HttpTargetConnector.js';
import KeeperGateway from './KeeperGateway.js';
import LogShares from './LogShares.js';
import OperatorQueries from './OperatorQueries.js';
import OperatorServer from './OperatorServer.js';
import PeerClients from './PeerClients.js';
import RequestForwarder, { serveForwarded } from './RequestForwarder.js';
import RequestHandler from './RequestHandler.js';
import type { Settings } from './SettingsSchema.js';
import ShardRegistry from './ShardRegistry.js';
import ShardRouter from './ShardRouter.js';
import TargetProber from './TargetProber.js';
import TicketedRequests from './TicketedRequests.js';

const REFRESH_MILLISECONDS = 500;
const EJECTION_REVIEW_MILLISECONDS = 200;
const RENEWAL_MILLISECONDS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;
const LONGEST_DRAIN_MILLISECONDS = 30_000;
const DRAIN_POLL_MILLISECONDS = 50;
const PEER_CALL_MILLISECONDS = 1_000;
/** Requests in flight at which a daemon tells that it is fully loaded. */
const FULL_LOAD_REQUESTS = 200;
const PERCENT = 100;

export interface DaemonOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  /** For choices that need no secrecy. */
  readonly seed: number;
}

/** A daemon that runs. */
export interface Daemon {
  readonly host: Host;
  readonly counters: Counters;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  /** Stops gracefully: no request in flight is cut. */
  readonly stop: Stop;
  /** Ends at once, as a crash would. */
  readonly kill: Stop;
  /** Settles when another daemon under the same name has taken this one's place. */
  readonly replaced: Promise<void>;
}

function createHost(settings: Settings, clock: Clock): Host {
  const startedAt = Math.floor(clock.wallNow()).toString(36).padStart(9, '0');
  return {
    ...settings.host,
    incarnation: `${startedAt}-${randomBytes(6).toString('hex')}`,
    callerAddress: settings.addresses.callers,
    peerAddress: settings.addresses.peers,
    heartbeatAddress: settings.addresses.heartbeats,
  };
}

function createTranslator(settings: Settings): (address: string) => string {
  const table = new Map(settings.reachedThrough.map(({ address, via }) => [address, via]));
  return (address) => table.get(address) ?? address;
}

/** Runs a step again and again, with a tenth of the period up or down between. */
function startPeriodic(
  clock: Clock,
  random: Random,
  milliseconds: number,
  step: () => Promise<void> | void,
  onError: (error: unknown) => void,
): Stop {
  return startTask(
    (signal) =>
      repeatUntilAborted(signal, async () => {
        await step();
        await clock.sleep(milliseconds * (0.9 + 0.2 * random.unit()), signal);
      }),
    onError,
  );
}

/**
 * Starts a daemon.
 *
 * @throws CactusrunError when an address cannot be bound
 */
export async function startDaemon(options: DaemonOptions): Promise<Daemon> {
  const { settings, clock, logger } = options;
  const random = createRandom(options.seed);
  const counters = new Counters();
  const host = createHost(settings, clock);
  const translate = createTranslator(settings);
  const scorer = await createScorer();
  let isStopping = false;

  // What is shared with the platform and with peers.
  const platform = new HttpPlatform(settings.platform.address);
  const store = new ConfigurationStore(counters, clock);
  const snapshots = new SnapshotWriter({
    log: platform,
    store,
    clock,
    random,
    counters,
    logger,
    retentionMilliseconds: settings.platform.retentionMilliseconds,
  });
  const follower = new LogFollower({
    log: platform,
    store,
    clock,
    random,
    counters,
    logger,
    rebase: () => snapshots.write(store.current, true),
  });
  const hosts = new HostWatcher({ hostList: platform, clock, random, counters });
  const transport = await openUdpTransport(host.heartbeatAddress, translate, counters);
  const membership = new Membership({
    self: host,
    seeds: () => [...new Set([...settings.seeds, ...hosts.entryAddresses()])],
    clock,
    random,
    transport,
    counters,
    logger,
  });
  const clients = new PeerClients(translate);
  const findHost = (name: string) =>
    membership.serving().find((member) => member.host.name === name)?.host;

  // What decides about targets.
  const shareLog = new LogShares(platform, store, host.incarnation);
  const shares = new EjectionShares({
    holder: host.incarnation,
    log: shareLog,
    clock,
    counters,
    logger,
  });
  const crashes = new CrashWatch(clock, counters, (key, count) => tellCrash(key, count));
  const connector = new HttpTargetConnector(clock, (service) => {
    const contract = store.current.contracts.get(service);
    return (contract?.slotsPerTarget ?? 1) * (contract?.connectionsPerSlot ?? 1);
  });
  let keptTargets: () => readonly Target[] = () => [];
  const prober = new TargetProber({
    targets: () => keptTargets(),
    clock,
    random,
    counters,
  });
  const index = new KeeperIndex(scorer);
  const registry: ShardRegistry = new ShardRegistry({
    self: host.name,
    scorer,
    index,
    store,
    connector,
    crashes,
    shares,
    clock,
    random,
    counters,
    logger,
    isLeavingAddress: (address) =>
      hosts.isLeaving(address) || prober.statementOf(address)?.isDraining === true,
    noteDraining: (address) => prober.noteDraining(address),
    isDoubtful: () => membership.isIsolated,
    handOver: (keeper, shard, kept) => {
      const successor = findHost(keeper);
      if (successor === undefined) return;
      const { windowStart, started } = kept.depositUse();
      const handover = create(ShardHandoverSchema, {
        shard,
        windowStart,
        depositsStarted: started,
        slotsInUse: Object.fromEntries(kept.use()),
      });
      clients
        .to(successor)
        .handOver(handover, PEER_CALL_MILLISECONDS)
        .catch(() => counters.add('handovers', 'not-delivered'));
    },
  });

  keptTargets = () => registry.keptTargets();

  function tellCrash(key: string, count: number): void {
    const [service = '', fingerprint = ''] = key.split('/');
    const report = create(CrashReportSchema, { service, fingerprint, crashes: count });
    const keepers = new Set(registry.shardsOf(service).map((shard) => registry.keeperOf(shard)));
    keepers.delete(host.name);
    keepers.forEach((name) => {
      const peer = name === undefined ? undefined : findHost(name);
      if (peer === undefined) return;
      clients
        .to(peer)
        .reportCrash(report, PEER_CALL_MILLISECONDS)
        .catch(() => counters.add('crashes', 'report-not-delivered'));
    });
    if (count < CRASHES_TO_HOLD) return;
    registry.forgiveTargets();
    logger.warn('request-held-back', { service, fingerprint });
    shareLog
      .hold(service, fingerprint, HOLD_MILLISECONDS)
      .catch(() => counters.add('crashes', 'hold-not-recorded'));
  }

  // The path of a request.
  const gateway = new KeeperGateway({ self: host.name, registry, clients, clock, counters });
  const router = new ShardRouter({
    registry,
    gateway,
    findHost,
    isReachable: (name) => membership.isReachable(name),
    clock,
    random,
    counters,
  });
  const forwarder = new RequestForwarder({ membership, clients, clock, counters });
  const tickets = new TicketedRequests({
    issuer: new TicketIssuer(host.name, host.incarnation),
    ledger: new TicketLedger(clock, counters, {
      tickets: settings.limits.tickets,
      answerBytes: settings.limits.keptAnswerBytes,
    }),
    self: host,
    clock,
    counters,
    forward: (facts, request, deadline) => forwarder.forward(facts, request, deadline),
  });
  const handler = new RequestHandler({ store, router, tickets, clock, counters });
  const directory = new CallerDirectory({
    self: host,
    store,
    membership,
    random,
    counters,
    issueTicket: () => tickets.issue(),
  });
  const entry = new EntryServer({
    address: host.callerAddress,
    zone: host.zone,
    headerBytes: settings.limits.headerBytes,
    bodyBytes: settings.limits.bodyBytes,
    clock,
    counters,
    directory,
    handle: (request) => handler.handle(request),
    issueTicket: () => tickets.issue(),
    mayHaveRun: (ticket) => tickets.mayHaveRun(ticket),
  });

  // What operators see and do.
  const sync = new ConfigurationSync({
    self: host,
    store,
    membership,
    clients,
    clock,
    random,
    counters,
  });
  const queries = new OperatorQueries({
    self: host,
    store,
    membership,
    registry,
    clients,
    counters,
    isLogReachable: () => follower.isLogReachable,
    reportedLoad: (address) => prober.statementOf(address)?.load,
  });
  const changes = new ChangeDesk({ store, log: platform, clock, counters, logger });
  const operators = new OperatorServer({
    address: settings.addresses.operators,
    counters,
    queries,
    changes,
    readiness: () => {
      const reasons = [
        ...(store.isReady ? [] : ['no configuration: neither the log nor a peer was reached']),
        ...(isStopping ? ['leaving'] : []),
      ];
      return { isReady: reasons.length === 0, reasons };
    },
  });

  const refresh = () => {
    const serving = membership.serving();
    index.setMembers(serving.map((member) => member.host));
    registry.refresh();
    const loadPercent = Math.min(
      PERCENT,
      Math.round((PERCENT * entry.requestsInFlight) / FULL_LOAD_REQUESTS),
    );
    membership.tell({ configurationOffset: store.current.offset, loadPercent });
  };
  let held = store.current.holds;
  const followHolds = () => {
    const { holds } = store.current;
    held.forEach(({ service, fingerprint }, key) => {
      if (!holds.has(key)) crashes.lift(targetKey(service, fingerprint));
    });
    holds.forEach(({ service, fingerprint }, key) => {
      if (!held.has(key)) crashes.learn(targetKey(service, fingerprint), CRASHES_TO_HOLD);
    });
    held = holds;
  };
  let announceReplaced: () => void = () => {};
  const replaced = new Promise<void>((resolve) => {
    announceReplaced = resolve;
  });

  const stopPeers = await startPeerServer(host.peerAddress, {
    dispatch: (stream) => gateway.serve(stream),
    forward: (stream) => serveForwarded(stream, (request) => handler.handle(request)),
    synchronise: async (request) => sync.serve(request),
    reportCrash: async ({ service, fingerprint, crashes: count }) => {
      crashes.learn(targetKey(service, fingerprint), count);
      return create(AcknowledgementSchema, {});
    },
    handOver: async (handover) => {
      refresh();
      registry.takeHandover(handover);
      return create(AcknowledgementSchema, {});
    },
    inspect: async (request) => {
      const rows = await queries.answerLocally(JSON.parse(request.query));
      return create(InspectReplySchema, { json: JSON.stringify(rows) });
    },
  });
  const fail = (error: unknown) => logger.warn('task-failed', { error: String(error) });
  const stopListening = membership.listen((event) => {
    if (event.kind === 'replaced') announceReplaced();
    refresh();
  });
  const stopFollowingStore = store.listen(() => {
    followHolds();
    refresh();
  });
  const stopEntry = await entry.start();
  const background: readonly Stop[] = [
    async () => clients.close(),
    async () => connector.close(),
    transport.stop,
    async () => platform.close(),
    async () => stopFollowingStore(),
    async () => stopListening(),
    await operators.start(),
    membership.start(),
    hosts.start(),
    follower.start(),
    snapshots.start(),
    sync.start(),
    prober.start(),
    startPeriodic(clock, random, REFRESH_MILLISECONDS, refresh, fail),
    startPeriodic(
      clock,
      random,
      EJECTION_REVIEW_MILLISECONDS,
      () => registry.reviewEjections(),
      fail,
    ),
    startPeriodic(clock, random, RENEWAL_MILLISECONDS, () => shares.renew(), fail),
  ];
  const stopBackground = mergeStops(background);
  logger.info('started', { ...settings.addresses, zone: host.zone, region: host.region });

  /** Waits until nothing is in flight here, or the longest time is over. */
  async function drain(): Promise<void> {
    const end = clock.now() + LONGEST_DRAIN_MILLISECONDS;
    const isBusy = () => entry.requestsInFlight > 0 || gateway.inFlight > 0;
    while (isBusy() && clock.now() < end) {
      // eslint-disable-next-line no-await-in-loop
      await clock.sleep(DRAIN_POLL_MILLISECONDS);
    }
  }

  async function stopGracefully(): Promise<void> {
    isStopping = true;
    logger.info('leaving');
    membership.announceLeaving();
    refresh();
    registry.stopTaking();
    // Callers may still come by an answer of the directory that they kept.
    await clock.sleep(DIRECTORY_SECONDS * MILLISECONDS_PER_SECOND);
    await drain();
    await stopEntry();
    await drain();
    await stopPeers();
    await stopBackground();
    logger.info('stopped');
  }

  let stopping: Promise<void> | undefined;
  return {
    host,
    counters,
    store,
    membership,
    replaced,
    stop: () => {
      stopping ??= stopGracefully();
      return stopping;
    },
    kill: async () => {
      await stopBackground();
      await Promise.all([stopEntry(), stopPeers()]);
    },
  };
}
