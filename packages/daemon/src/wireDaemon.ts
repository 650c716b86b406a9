/** Creates the parts of one daemon, starts them, and stops them in reverse order. */
import { randomBytes } from 'node:crypto';
import type { ConfigurationStore } from '@cactusrun/configuration';
import type { Clock, Host, Logger, Stop } from '@cactusrun/core';
import { Counters, createRandom, divideGraceTime } from '@cactusrun/core';
import type { Membership } from '@cactusrun/membership';
import { createScorer } from '@cactusrun/placement';
import { startPeerServer } from '@cactusrun/protocol';
import createPeerHandlers from './createPeerHandlers.js';
import type { Settings } from './SettingsSchema.js';
import shutDownGracefully from './shutDownGracefully.js';
import startBackground from './startBackground.js';
import StreamCount from './StreamCount.js';
import type { DaemonContext } from './wireControl.js';
import { wireControl } from './wireControl.js';
import wireOperators from './wireOperators.js';
import wireRequests from './wireRequests.js';
import { wireTargets } from './wireTargets.js';

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
  const { queries, operators } = wireOperators(context, control, targets, gate);
  const { store, membership, sync } = control;
  const { registry, index, crashes } = targets;

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
  const peerHandlers = createPeerHandlers({
    gateway,
    handler,
    forwarded,
    sync,
    crashes,
    registry,
    queries,
    refresh,
  });
  const stopPeers = await startPeerServer(host.peerAddress, peerHandlers);
  const stopEntry = await entry.start();
  const stopBackground = await startBackground(context, control, targets, {
    operators,
    refresh,
    onReplaced: () => resolveReplaced(),
  });
  logger.info('started', { ...settings.addresses, zone: host.zone, region: host.region });

  async function stopGracefully(): Promise<void> {
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
