/** Creates the parts of one daemon, starts them, and stops them in reverse order. */
import { randomBytes } from 'node:crypto';
import type { ConfigurationStore } from '@cactusrun/configuration';
import { targetKey } from '@cactusrun/configuration';
import type { Clock, Host, Logger, Random, Stop } from '@cactusrun/core';
import {
  Counters,
  createRandom,
  divideGraceTime,
  mergeStops,
  repeatUntilAborted,
  startTask,
} from '@cactusrun/core';
import type { Membership } from '@cactusrun/membership';
import { createScorer } from '@cactusrun/placement';
import {
  AcknowledgementSchema,
  create,
  InspectReplySchema,
  startPeerServer,
} from '@cactusrun/protocol';
import ChangeService from './ChangeService.js';
import OperatorQueries from './OperatorQueries.js';
import type { Readiness } from './OperatorServer.js';
import OperatorServer from './OperatorServer.js';
import { serveForwarded } from './RequestForwarder.js';
import type { Settings } from './SettingsSchema.js';
import shutDownGracefully from './shutDownGracefully.js';
import StreamCount from './StreamCount.js';
import type { DaemonContext } from './wireControl.js';
import { wireControl } from './wireControl.js';
import wireRequests from './wireRequests.js';
import { wireTargets } from './wireTargets.js';

const REFRESH_MILLISECONDS = 500;
const EJECTION_REVIEW_MILLISECONDS = 200;
const LEASE_RENEWAL_MILLISECONDS = 5_000;
/** Requests in flight at which a daemon reports a load of 100 %. */
const FULL_LOAD_REQUESTS = 200;
const PERCENT = 100;

export interface DaemonOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Seed for random choices that need not be unpredictable. */
  readonly seed: number;
}

/** A running daemon. */
export interface Daemon {
  readonly host: Host;
  readonly counters: Counters;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  /** Shuts down gracefully: waits for requests in flight. */
  readonly stop: Stop;
  /** Stops without a graceful shutdown, to simulate a crash. */
  readonly kill: Stop;
  /** Resolves when a newer daemon with the same host name has joined the fleet. */
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

/** Repeats a step with pauses that vary by 10 % around the period. */
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

function describeReadiness(store: ConfigurationStore, isStopping: boolean): Readiness {
  const reasons = [
    ...(store.isReady ? [] : ['no configuration: neither the log nor a peer was reached']),
    ...(isStopping ? ['leaving'] : []),
  ];
  return { isReady: reasons.length === 0, reasons };
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
  const context: DaemonContext = { settings, host, clock, random, counters, logger };
  const control = await wireControl(context);
  const targets = wireTargets(context, control, await createScorer());
  const { gateway, handler, entry, gate } = wireRequests(context, control, targets);
  const { platform, store, membership, clients, transport } = control;
  const { registry, index, leases, crashes, prober, connector } = targets;
  let isStopping = false;

  const queries = new OperatorQueries({
    self: host,
    store,
    membership,
    registry,
    clients,
    counters,
    isLogReachable: () => control.follower.isLogReachable,
    reportedLoad: (address) => prober.statusOf(address)?.load,
  });
  const changes = new ChangeService({ store, log: platform, clock, counters, logger });
  const operators = new OperatorServer({
    address: settings.addresses.operators,
    counters,
    queries,
    changes,
    readiness: () => describeReadiness(store, isStopping),
  });

  /** Updates the kept shards to the current members; announces this daemon's offset and load. */
  const refresh = (): void => {
    index.setMembers(membership.serving().map((member) => member.host));
    registry.refresh();
    const loadRatio = entry.requestsInFlight / FULL_LOAD_REQUESTS;
    const loadPercent = Math.min(PERCENT, Math.round(PERCENT * loadRatio));
    membership.announce({ configurationOffset: store.current.offset, loadPercent });
  };
  let resolveReplaced: () => void = () => {};
  const replaced = new Promise<void>((resolve) => {
    resolveReplaced = resolve;
  });

  const forwarded = new StreamCount();
  const stopPeers = await startPeerServer(host.peerAddress, {
    dispatch: (stream) => gateway.serve(stream),
    forward: (stream) => {
      forwarded.add(stream);
      serveForwarded(stream, (request) => handler.handle(request));
    },
    synchronise: async (request) => control.sync.serve(request),
    reportCrash: async ({ service, fingerprint, crashes: count }) => {
      crashes.applyReport(targetKey(service, fingerprint), count);
      return create(AcknowledgementSchema, {});
    },
    handOver: async (handover) => {
      refresh();
      registry.applyHandover(handover);
      return create(AcknowledgementSchema, {});
    },
    inspect: async (request) => {
      const rows = await queries.answerLocally(JSON.parse(request.query));
      return create(InspectReplySchema, { json: JSON.stringify(rows) });
    },
  });
  const logTaskFailure = (error: unknown) => logger.warn('task-failed', { error: String(error) });
  const repeatEvery = (milliseconds: number, step: () => Promise<void> | void) =>
    startPeriodic(clock, random, milliseconds, step, logTaskFailure);
  const stopMembershipListener = membership.listen((event) => {
    if (event.kind === 'replaced') resolveReplaced();
    refresh();
  });
  const stopStoreListener = store.listen(() => {
    targets.syncHolds();
    refresh();
  });
  const stopEntry = await entry.start();
  const stopBackground = mergeStops([
    async () => clients.close(),
    async () => connector.close(),
    transport.stop,
    async () => platform.close(),
    async () => stopStoreListener(),
    async () => stopMembershipListener(),
    await operators.start(),
    membership.start(),
    control.hosts.start(),
    control.follower.start(),
    control.snapshots.start(),
    control.sync.start(),
    prober.start(),
    repeatEvery(REFRESH_MILLISECONDS, refresh),
    repeatEvery(EJECTION_REVIEW_MILLISECONDS, () => registry.reviewEjections()),
    repeatEvery(LEASE_RENEWAL_MILLISECONDS, () => leases.renew()),
  ]);
  logger.info('started', { ...settings.addresses, zone: host.zone, region: host.region });

  async function stopGracefully(): Promise<void> {
    isStopping = true;
    logger.info('leaving');
    membership.announceLeaving();
    refresh();
    registry.stopAccepting();
    await shutDownGracefully({
      gate,
      entry,
      requestsOfPeers: () => gateway.inFlight + forwarded.size,
      stopTimes: divideGraceTime(settings.shutdown.graceMilliseconds),
      clock,
      logger,
    });
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
