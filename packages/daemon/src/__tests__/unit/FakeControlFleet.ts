/**
 * The control planes of several daemons in one process with a manual clock: real membership,
 * configuration store, log follower, snapshot writer and synchronisation over a fake network.
 */
import { ConfigurationStore } from '@cactusrun/configuration';
import type { Host, Stop } from '@cactusrun/core';
import { Counters, createRandom, ManualClock, mergeStops, silentLogger } from '@cactusrun/core';
import type { MemberTransport } from '@cactusrun/membership';
import { Membership } from '@cactusrun/membership';
import { LogFollower, SnapshotWriter } from '@cactusrun/platform';
import type { MemberMessage, SynchroniseRequest } from '@cactusrun/protocol';
import type { ChangeAnswer } from '../../ChangeService.js';
import ChangeService from '../../ChangeService.js';
import ConfigurationSync from '../../ConfigurationSync.js';
import type PeerClients from '../../PeerClients.js';
import FakeLog from './FakeLog.js';

const NETWORK_MILLISECONDS = 1;
const RETENTION_MILLISECONDS = 120_000;
const REFRESH_MILLISECONDS = 200;
const CALL_MILLISECONDS = 1_000;
const ZONES = ['west-a', 'west-b', 'east-a', 'east-b'];

export interface ControlNode {
  readonly host: Host;
  readonly counters: Counters;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly sync: ConfigurationSync;
  readonly changeService: ChangeService;
  readonly stop: Stop;
  /** Every revision that the node's store has published, in order. */
  readonly revisions: number[];
}

export default class FakeControlFleet {
  public readonly clock = new ManualClock();

  public readonly log = new FakeLog(this.clock);

  public readonly nodes = new Map<number, ControlNode>();

  /** Links that drop messages, one direction each: `from>to` by host name. */
  public readonly blocked = new Set<string>();

  /** Hosts that neither send nor receive. */
  public readonly paused = new Set<string>();

  private readonly receivers = new Map<string, (message: MemberMessage) => void>();

  private generation = 0;

  constructor(private readonly seed: number) {}

  public async start(count: number): Promise<void> {
    Array.from({ length: count }).forEach((_, index) => this.addNode(index));
    await this.clock.advance(5_000);
  }

  /** Starts a daemon for the index, as a new incarnation if the host existed before. */
  public addNode(index: number): ControlNode {
    this.generation += 1;
    const zone = ZONES[index % ZONES.length]!;
    const host: Host = {
      name: `host-${index}`,
      incarnation: `${String(this.generation).padStart(4, '0')}-${index}`,
      zone,
      region: zone.split('-')[0]!,
      callerAddress: `callers-${index}`,
      peerAddress: `host-${index}`,
      heartbeatAddress: `host-${index}`,
    };
    const node = this.createNode(host);
    this.nodes.set(index, node);
    return node;
  }

  public async kill(index: number): Promise<void> {
    const node = this.nodes.get(index);
    if (node === undefined) return;
    this.nodes.delete(index);
    this.receivers.delete(node.host.heartbeatAddress);
    await this.settle(node.stop());
  }

  public async stop(): Promise<void> {
    await Promise.all([...this.nodes.keys()].map((index) => this.kill(index)));
  }

  /** Blocks all links between the two groups, or only those from the first to the second. */
  public partition(left: readonly number[], right: readonly number[], isOneWay: boolean): void {
    left.forEach((from) =>
      right.forEach((to) => {
        this.blocked.add(`host-${from}>host-${to}`);
        if (!isOneWay) this.blocked.add(`host-${to}>host-${from}`);
      }),
    );
  }

  public async settle<Value>(
    promise: Promise<Value>,
    timeoutMilliseconds = 20_000,
  ): Promise<Value> {
    let isSettled = false;
    promise.finally(() => {
      isSettled = true;
    });
    const end = this.clock.now() + timeoutMilliseconds;
    while (!isSettled && this.clock.now() < end) {
      // eslint-disable-next-line no-await-in-loop
      await this.clock.advance(50);
    }
    return promise;
  }

  public change(index: number, identity: string, script: string): Promise<ChangeAnswer> {
    const request = { identity, author: identity, script, isDryRun: false };
    return this.nodes.get(index)!.changeService.submit(request);
  }

  private createNode(host: Host): ControlNode {
    const { clock } = this;
    const counters = new Counters();
    const random = createRandom(this.seed * 1_000 + this.generation);
    const store = new ConfigurationStore(counters, clock);
    const log = this.log.connectFrom(host.name);
    const shared = { store, clock, random, counters, logger: silentLogger };
    const snapshots = new SnapshotWriter({
      ...shared,
      log,
      retentionMilliseconds: RETENTION_MILLISECONDS,
      memberCount: () => this.nodes.size,
    });
    const follower = new LogFollower({
      ...shared,
      log,
      rebase: () => snapshots.write(store.current, true),
    });
    const membership = new Membership({
      ...shared,
      self: host,
      seeds: () => ['host-0', 'host-1', 'host-2'],
      transport: this.transportOf(host),
    });
    const clients = { to: (peer: Host) => this.clientTo(host, peer) } as unknown as PeerClients;
    const sync = new ConfigurationSync({ ...shared, self: host, membership, clients });
    const changeService = new ChangeService({ ...shared, log });
    const revisions: number[] = [];
    let isRunning = true;
    const refresh = () => {
      if (!isRunning) return;
      membership.announce({ configurationOffset: store.current.offset, loadPercent: 0 });
      clock.after(REFRESH_MILLISECONDS, refresh);
    };
    store.listen((state) => {
      revisions.push(state.revision);
      membership.announce({ configurationOffset: state.offset, loadPercent: 0 });
    });
    const stop = mergeStops([
      async () => {
        isRunning = false;
      },
      membership.start(),
      follower.start(),
      snapshots.start(),
      sync.start(),
    ]);
    refresh();
    return { host, counters, store, membership, sync, changeService, stop, revisions };
  }

  private canDeliver(from: string, to: string): boolean {
    return !this.blocked.has(`${from}>${to}`) && !this.paused.has(from) && !this.paused.has(to);
  }

  private transportOf(host: Host): MemberTransport {
    return {
      send: (address, message) => {
        this.clock.after(NETWORK_MILLISECONDS, () => {
          if (this.canDeliver(host.name, address)) this.receivers.get(address)?.(message);
        });
      },
      listen: (listener) => this.receivers.set(host.heartbeatAddress, listener),
    };
  }

  private clientTo(from: Host, to: Host) {
    return {
      synchronise: async (request: SynchroniseRequest) => {
        await this.clock.sleep(NETWORK_MILLISECONDS);
        const node = [...this.nodes.values()].find(({ host }) => host.name === to.name);
        const canDeliver =
          this.canDeliver(from.name, to.name) && this.canDeliver(to.name, from.name);
        if (node !== undefined && canDeliver) return node.sync.serve(request);
        await this.clock.sleep(CALL_MILLISECONDS);
        throw new Error('no answer');
      },
    };
  }
}
