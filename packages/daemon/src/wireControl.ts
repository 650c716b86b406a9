/** Creates the control plane of a daemon: platform log, host list, membership and configuration. */
import { ConfigurationStore } from '@cactusrun/configuration';
import type { Clock, Counters, Host, Logger, Random } from '@cactusrun/core';
import { Membership, openUdpTransport } from '@cactusrun/membership';
import { HttpPlatform, LogFollower, SnapshotWriter } from '@cactusrun/platform';
import ConfigurationSync from './ConfigurationSync.js';
import HostWatcher from './HostWatcher.js';
import PeerClients from './PeerClients.js';
import type { Settings } from './SettingsSchema.js';

/** Dependencies that every part of a daemon receives. */
export interface DaemonContext {
  readonly settings: Settings;
  readonly host: Host;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
}

function createAddressTranslator(settings: Settings): (address: string) => string {
  const table = new Map(settings.reachedThrough.map(({ address, via }) => [address, via]));
  return (address) => table.get(address) ?? address;
}

/** @throws CactusrunError when the heartbeat address cannot be bound */
export async function wireControl(context: DaemonContext) {
  const { settings, host, clock, random, counters } = context;
  const translate = createAddressTranslator(settings);
  const platform = new HttpPlatform(settings.platform.address, counters);
  const store = new ConfigurationStore(counters, clock);
  const shared = { ...context, log: platform, store };
  const { retentionMilliseconds } = settings.platform;
  let memberCount: () => number = () => 1;
  const snapshots = new SnapshotWriter({
    ...shared,
    retentionMilliseconds,
    memberCount: () => memberCount(),
  });
  const rebase = () => snapshots.write(store.current, true);
  const follower = new LogFollower({ ...shared, rebase });
  const hosts = new HostWatcher({
    hostList: platform,
    clock,
    random,
    counters,
    memberCount: () => memberCount(),
  });
  const transport = await openUdpTransport(host.heartbeatAddress, translate, counters);
  const membership = new Membership({
    ...context,
    self: host,
    seeds: () => [...new Set([...settings.seeds, ...hosts.entryAddresses()])],
    transport,
  });
  memberCount = () => membership.serving().length;
  const clients = new PeerClients(translate);
  const sync = new ConfigurationSync({ ...shared, self: host, membership, clients });
  const findHost = (name: string): Host | undefined =>
    membership.serving().find((member) => member.host.name === name)?.host;
  return {
    platform,
    store,
    snapshots,
    follower,
    hosts,
    transport,
    membership,
    clients,
    sync,
    findHost,
  };
}

export type Control = Awaited<ReturnType<typeof wireControl>>;
