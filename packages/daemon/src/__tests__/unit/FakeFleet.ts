/**
 * The request paths of several daemons in one process with a manual clock: real handlers, tickets,
 * routers, registries and keepers over a fake network.
 */
import type { LogRecord } from '@cactusrun/configuration';
import { ConfigurationStore, encodeRecord } from '@cactusrun/configuration';
import type { Contract, Host } from '@cactusrun/core';
import { Counters, createRandom, ManualClock, silentLogger } from '@cactusrun/core';
import { EjectionLeases } from '@cactusrun/health';
import type { Scorer } from '@cactusrun/placement';
import { createScorer, KeeperIndex } from '@cactusrun/placement';
import type { Attempt, AttemptResult } from '@cactusrun/requests';
import { CrashTracker, refusal, TicketIssuer, TicketLedger } from '@cactusrun/requests';
import type { CallerAnswer, CallerRequest } from '../../CallerRequest.js';
import { refused } from '../../CallerRequest.js';
import RequestHandler from '../../RequestHandler.js';
import ShardRegistry from '../../ShardRegistry.js';
import ShardRouter from '../../ShardRouter.js';
import StopGate from '../../StopGate.js';
import TicketedRequests from '../../TicketedRequests.js';
import FakeTargets, { IDENTITY } from './FakeTargets.js';

const NETWORK_MILLISECONDS = 1;
/** Time until the sender of a dropped message gives up. */
const DROPPED_MESSAGE_MILLISECONDS = 2_000;
/** The contract's deadline plus the forwarder's grace period. */
const FORWARD_MILLISECONDS = 5_500;
const STEP_MILLISECONDS = 25;
const ZONES = ['west-a', 'west-b'];

export interface FakeNode {
  readonly host: Host;
  readonly counters: Counters;
  readonly store: ConfigurationStore;
  readonly registry: ShardRegistry;
  readonly handler: RequestHandler;
  readonly tickets: TicketedRequests;
  readonly ledger: TicketLedger;
  readonly gate: StopGate;
  readonly index: KeeperIndex;
  isAlive: boolean;
  isIsolated: boolean;
  /** Resolves when the node resumes after a pause. */
  resumed: Promise<void>;
}

export interface SentRequest {
  readonly node: number;
  readonly kind: 'lookup' | 'order' | 'deposit';
  readonly identity: string;
  readonly ticket?: string;
  readonly body?: string;
  readonly signal?: AbortSignal;
  readonly callerZone?: string;
  readonly timeoutMilliseconds?: number;
}

export interface CallerResult {
  readonly outcome: string;
  readonly reason: string;
  readonly text: string;
}

const PATHS = { lookup: '/stock/1', order: '/orders', deposit: '/deposits' } as const;

export function fakeContract(patch: Partial<Contract> = {}): Contract {
  const route = { host: '*', methods: [], priority: 'normal' as const, isDeposit: false };
  return {
    service: 'workshop',
    workspace: 'default',
    region: 'west',
    slotsPerTarget: 2,
    connectionsPerSlot: 1,
    depositsPerOrderWindow: 10,
    orderWindowMilliseconds: 60_000,
    floorPercent: 50,
    deadlineMilliseconds: 5_000,
    retryBudgetPercent: 20,
    caution: 'balanced',
    targets: Array.from({ length: 4 }, (_, index) => ({
      name: `t${index}`,
      address: `127.0.1.${index + 1}:9000`,
      zone: ZONES[index % 2]!,
    })),
    routes: [
      { ...route, pathPrefix: '/stock', requestClass: 'idempotent' },
      { ...route, pathPrefix: '/orders', requestClass: 'non-idempotent' },
      { ...route, pathPrefix: '/deposits', requestClass: 'non-idempotent', isDeposit: true },
    ],
    ...patch,
  };
}

export default class FakeFleet {
  public readonly clock = new ManualClock();

  public readonly targets = new FakeTargets(this.clock);

  public readonly nodes: FakeNode[] = [];

  /** Links that drop messages, one direction each: `from>to` by host name. */
  public readonly blocked = new Set<string>();

  /** Callbacks that end a node's pending operations when it is killed, by host name. */
  private readonly pendingOperations = new Map<string, Set<() => void>>();

  private constructor(
    private readonly scorer: Scorer,
    private readonly contract: Contract,
    private readonly seed: number,
  ) {}

  public static async create(
    count: number,
    seed: number,
    contract: Contract = fakeContract(),
  ): Promise<FakeFleet> {
    const fleet = new FakeFleet(await createScorer(), contract, seed);
    Array.from({ length: count }, (_, index) => fleet.addNode(index, 1));
    fleet.refreshViews();
    fleet.nodes.forEach((node) => fleet.configure(node));
    await fleet.clock.advance(10);
    return fleet;
  }

  /** Updates the nodes' view of the members. */
  public refreshViews(nodes: readonly FakeNode[] = this.nodes): void {
    const serving = this.nodes.filter(({ isAlive }) => isAlive).map(({ host }) => host);
    nodes.forEach((node) => {
      node.index.setMembers(serving);
      node.registry.refresh();
    });
  }

  public kill(index: number): void {
    const node = this.nodes[index]!;
    node.isAlive = false;
    this.pendingOperations.get(node.host.name)?.forEach((end) => end());
  }

  /** Replaces a dead daemon by a new incarnation with the same host name. */
  public replace(index: number): void {
    this.addNode(index, 2);
    this.configure(this.nodes[index]!);
    this.refreshViews();
  }

  /** Replaces a daemon by a new incarnation that has no configuration yet. */
  public restartUnconfigured(index: number): void {
    this.addNode(index, 2);
    this.nodes[index]!.index.setMembers(this.nodes.map(({ host }) => host));
  }

  /** Pauses the node until the returned function is called. */
  public pause(index: number): () => void {
    let resume: () => void = () => {};
    this.nodes[index]!.resumed = new Promise((resolve) => {
      resume = resolve;
    });
    return resume;
  }

  public keeperOf(target: string): number {
    const shard = this.nodes[0]!.registry.shardsOf('workshop').find((candidate) =>
      candidate.targets.some(({ name }) => name === target),
    );
    const name = shard === undefined ? '' : this.nodes[0]!.registry.keeperOf(shard);
    return this.nodes.findIndex(({ host }) => host.name === name);
  }

  public issueTicket(index: number): string {
    return this.nodes[index]!.tickets.issue();
  }

  /** Sends a request the way the entry server does and reads the whole answer. */
  public async send(sent: SentRequest): Promise<CallerResult> {
    const node = this.nodes[sent.node]!;
    if (!node.isAlive) return { outcome: 'no-connection', reason: '', text: '' };
    const request: CallerRequest = {
      method: sent.kind === 'lookup' ? 'GET' : 'POST',
      path: PATHS[sent.kind],
      headers: [[IDENTITY, sent.identity]],
      body: { head: Buffer.from(sent.body ?? 'shade'), isWhole: true },
      workspace: 'default',
      caller: 'caller',
      callerZone: sent.callerZone ?? node.host.zone,
      ticket: sent.ticket,
      timeoutMilliseconds: sent.timeoutMilliseconds,
      signal: sent.signal ?? new AbortController().signal,
      isForwarded: false,
    };
    const answer = await this.untilKilled(node, async () => {
      await node.resumed;
      return node.handler.handle(request);
    });
    return answer === undefined
      ? { outcome: 'no-connection', reason: '', text: '' }
      : this.read(node, answer);
  }

  /** Advances the clock until the promise settles. */
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
      await this.clock.advance(STEP_MILLISECONDS);
    }
    if (!isSettled) throw new Error(`not settled after ${timeoutMilliseconds} ms`);
    return promise;
  }

  private async read(node: FakeNode, answer: CallerAnswer): Promise<CallerResult> {
    if (answer.kind === 'refused') return { outcome: 'refused', reason: answer.reason, text: '' };
    try {
      const chunks = await answer.body.toArray();
      const text = Buffer.concat(chunks).toString();
      return { outcome: node.isAlive ? 'answered' : 'no-connection', reason: '', text };
    } catch {
      return { outcome: 'cut', reason: '', text: '' };
    }
  }

  private configure(node: FakeNode): void {
    const record: LogRecord = {
      kind: 'change',
      identity: 'contract',
      author: 'test',
      baseRevision: -1,
      operations: [{ kind: 'create-contract', contract: this.contract }],
    };
    node.store.markCaughtUp();
    node.store.apply([{ offset: 0, timestamp: 0, data: encodeRecord(record) }]);
    node.registry.refresh();
  }

  private addNode(index: number, generation: number): void {
    const { clock } = this;
    const zone = ZONES[index % ZONES.length]!;
    const host: Host = {
      name: `host-${index}`,
      incarnation: `${generation}-host-${index}`,
      zone,
      region: 'west',
      callerAddress: '',
      peerAddress: '',
      heartbeatAddress: '',
    };
    const counters = new Counters();
    const random = createRandom(this.seed * 100 + index);
    const store = new ConfigurationStore(counters, clock);
    const memberIndex = new KeeperIndex(this.scorer);
    const leases = new EjectionLeases({
      holder: host.incarnation,
      log: {
        claim: async () => {},
        renew: async () => 0,
        release: async () => {},
        view: () => undefined,
        appliedOffset: () => 0,
      },
      clock,
      counters,
      logger: silentLogger,
    });
    const crashes = new CrashTracker(clock, counters, (fingerprint, count) => {
      this.nodes
        .filter((node) => node.host.name !== host.name)
        .forEach((node) => this.crashTrackers.get(node.host.name)?.applyReport(fingerprint, count));
    });
    this.crashTrackers.set(host.name, crashes);
    const node: FakeNode = {
      host,
      counters,
      store,
      index: memberIndex,
      ledger: new TicketLedger(clock, counters),
      gate: new StopGate(clock),
      isAlive: true,
      isIsolated: false,
      resumed: Promise.resolve(),
    } as unknown as FakeNode;
    const registry = new ShardRegistry({
      self: host.name,
      scorer: this.scorer,
      index: memberIndex,
      store,
      connector: this.targets,
      crashes,
      leases,
      clock,
      random,
      counters,
      logger: silentLogger,
      isLeavingAddress: () => false,
      recordDraining: () => {},
      isIsolated: () => node.isIsolated,
      handOver: () => {},
    });
    const router = new ShardRouter({
      registry,
      gateway: {
        attempt: (keeper: Host, attempt: Attempt) => this.attempt(node, keeper, attempt),
      },
      findHost: (name) => this.nodes.find((other) => other.host.name === name)?.host,
      isReachable: () => true,
      clock,
      random,
      counters,
    });
    const tickets = new TicketedRequests({
      issuer: new TicketIssuer(host.name, host.incarnation),
      ledger: node.ledger,
      self: host,
      gate: node.gate,
      clock,
      counters,
      forward: (ticketFields, request) =>
        this.forward(node, ticketFields.incarnation, ticketFields.host, request),
    });
    const handler = new RequestHandler({
      store,
      router,
      tickets,
      gate: node.gate,
      clock,
      counters,
    });
    this.nodes[index] = Object.assign(node, { registry, handler, tickets });
  }

  private readonly crashTrackers = new Map<string, CrashTracker>();

  private async attempt(from: FakeNode, keeper: Host, attempt: Attempt): Promise<AttemptResult> {
    const to = this.nodes.find((node) => node.host.name === keeper.name);
    if (to === undefined || !to.isAlive) return refusal('keeper-unreachable', keeper.name);
    if (to === from) return from.registry.run(attempt);
    const lost = refusal('keeper-lost', keeper.name);
    const isDelivered = await this.deliver(from, to);
    if (!isDelivered) return lost;
    const far = new AbortController();
    const onAbort = () => far.abort();
    attempt.signal.addEventListener('abort', onAbort, { once: true });
    const result = await this.untilKilled(to, async () => {
      await to.resumed;
      return to.registry.run({ ...attempt, signal: far.signal });
    });
    attempt.signal.removeEventListener('abort', onAbort);
    if (result === undefined || !(await this.deliver(to, from))) return lost;
    return result;
  }

  private async forward(
    from: FakeNode,
    incarnation: string,
    name: string,
    request: CallerRequest,
  ): Promise<CallerAnswer> {
    const to = this.nodes.find((node) => node.host.incarnation === incarnation);
    if (to === undefined) return refused('owner-gone', name);
    if (!to.isAlive || !(await this.deliver(from, to))) return refused('owner-unreachable', name);
    const limit = this.clock.sleep(FORWARD_MILLISECONDS).then(() => undefined);
    const answer = await Promise.race([
      limit,
      this.untilKilled(to, async () => {
        await to.resumed;
        return to.handler.handle({ ...request, isForwarded: true });
      }),
    ]);
    if (answer === undefined || !(await this.deliver(to, from))) {
      return refused('owner-unreachable', name);
    }
    return answer;
  }

  /** Delivers a message one way; returns false after a timeout if the link is blocked. */
  private async deliver(from: FakeNode, to: FakeNode): Promise<boolean> {
    const isBlocked = this.blocked.has(`${from.host.name}>${to.host.name}`);
    await this.clock.sleep(isBlocked ? DROPPED_MESSAGE_MILLISECONDS : NETWORK_MILLISECONDS);
    return !isBlocked;
  }

  private untilKilled<Value>(
    node: FakeNode,
    run: () => Promise<Value>,
  ): Promise<Value | undefined> {
    const ends = this.pendingOperations.get(node.host.name) ?? new Set();
    this.pendingOperations.set(node.host.name, ends);
    return new Promise((resolve, reject) => {
      const end = () => resolve(undefined);
      ends.add(end);
      run()
        .then(resolve, reject)
        .finally(() => ends.delete(end));
    });
  }
}
