/** Wires the parts of one daemon together, starts them, and stops them in reverse. */
import { randomBytes } from 'node:crypto';
import type { ConfigurationStore } from '@cactusrun/configuration';
import { targetKey } from '@cactusrun/configuration';
import type { Clock, Host, Logger, Random, Stop } from '@cactusrun/core';
import { Counters, createRandom, mergeStops, repeatUntilAborted, startTask } from '@cactusrun/core';
import type { Membership } from '@cactusrun/membership';
import { createScorer } from '@cactusrun/placement';
import {
  AcknowledgementSchema,
  create,
  InspectReplySchema,
  startPeerServer,
} from '@cactusrun/protocol';
import { DIRECTORY_SECONDS } from './CallerDirectory.js';
import ChangeDesk from './ChangeDesk.js';
import OperatorQueries from './OperatorQueries.js';
import type { Readiness } from './OperatorServer.js';
import OperatorServer from './OperatorServer.js';
import { serveForwarded } from './RequestForwarder.js';
import type { Settings } from './SettingsSchema.js';
import type { Surroundings } from './wireControl.js';
import { wireControl } from './wireControl.js';
import wireRequests from './wireRequests.js';
import { wireTargets } from './wireTargets.js';

const REFRESH_MILLISECONDS = 500;
const EJECTION_REVIEW_MILLISECONDS = 200;
const RENEWAL_MILLISECONDS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;
const LONGEST_DRAIN_MILLISECONDS = 30_000;
const DRAIN_POLL_MILLISECONDS = 50;
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
  const surroundings: Surroundings = { settings, host, clock, random, counters, logger };
  const control = await wireControl(surroundings);
  const targets = wireTargets(surroundings, control, await createScorer());
  const { gateway, handler, entry } = wireRequests(surroundings, control, targets);
  const { platform, store, membership, clients, transport } = control;
  const { registry, index, shares, crashes, prober, connector } = targets;
  let isStopping = false;

  const queries = new OperatorQueries({
    self: host,
    store,
    membership,
    registry,
    clients,
    counters,
    isLogReachable: () => control.follower.isLogReachable,
    reportedLoad: (address) => prober.statementOf(address)?.load,
  });
  const changes = new ChangeDesk({ store, log: platform, clock, counters, logger });
  const operators = new OperatorServer({
    address: settings.addresses.operators,
    counters,
    queries,
    changes,
    readiness: () => describeReadiness(store, isStopping),
  });

  /** Brings what is kept here in line with members and configuration, and tells of it. */
  const refresh = (): void => {
    index.setMembers(membership.serving().map((member) => member.host));
    registry.refresh();
    const share = entry.requestsInFlight / FULL_LOAD_REQUESTS;
    const loadPercent = Math.min(PERCENT, Math.round(PERCENT * share));
    membership.tell({ configurationOffset: store.current.offset, loadPercent });
  };
  let announceReplaced: () => void = () => {};
  const replaced = new Promise<void>((resolve) => {
    announceReplaced = resolve;
  });

  const stopPeers = await startPeerServer(host.peerAddress, {
    dispatch: (stream) => gateway.serve(stream),
    forward: (stream) => serveForwarded(stream, (request) => handler.handle(request)),
    synchronise: async (request) => control.sync.serve(request),
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
  const every = (milliseconds: number, step: () => Promise<void> | void) =>
    startPeriodic(clock, random, milliseconds, step, fail);
  const stopListening = membership.listen((event) => {
    if (event.kind === 'replaced') announceReplaced();
    refresh();
  });
  const stopFollowingStore = store.listen(() => {
    targets.followHolds();
    refresh();
  });
  const stopEntry = await entry.start();
  const stopBackground = mergeStops([
    async () => clients.close(),
    async () => connector.close(),
    transport.stop,
    async () => platform.close(),
    async () => stopFollowingStore(),
    async () => stopListening(),
    await operators.start(),
    membership.start(),
    control.hosts.start(),
    control.follower.start(),
    control.snapshots.start(),
    control.sync.start(),
    prober.start(),
    every(REFRESH_MILLISECONDS, refresh),
    every(EJECTION_REVIEW_MILLISECONDS, () => registry.reviewEjections()),
    every(RENEWAL_MILLISECONDS, () => shares.renew()),
  ]);
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
