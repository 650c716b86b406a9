/** Answers operators' queries with rows of this daemon and, if fleet-wide, of its peers. */
import type { ConfigurationStore } from '@cactusrun/configuration';
import type { Contract, Counters, Host } from '@cactusrun/core';
import { floorOf } from '@cactusrun/core';
import type { Query, QueryKind } from '@cactusrun/language';
import type { Member, Membership } from '@cactusrun/membership';
import { create, InspectRequestSchema } from '@cactusrun/protocol';
import type PeerClients from './PeerClients.js';
import type ShardRegistry from './ShardRegistry.js';

const INSPECT_TIMEOUT_MILLISECONDS = 1_000;

export type Row = Readonly<Record<string, string | number | boolean>>;

export interface OperatorQueriesOptions {
  readonly self: Host;
  readonly store: ConfigurationStore;
  readonly membership: Membership;
  readonly registry: ShardRegistry;
  readonly clients: PeerClients;
  readonly counters: Counters;
  readonly isLogReachable: () => boolean;
  /** Load that the target at the address last reported. */
  readonly reportedLoad: (address: string) => number | undefined;
}

type Handler<Kind extends QueryKind> = (
  query: Extract<Query, { kind: Kind }>,
) => readonly Row[] | Promise<readonly Row[]>;

type HandlerTable = { readonly [Kind in QueryKind]: Handler<Kind> };

/** Queries that every daemon answers with rows of its own. */
const FLEET_WIDE_QUERIES: ReadonlySet<QueryKind> = new Set<QueryKind>([
  'show-targets',
  'show-target',
  'show-counters',
  'show-hosts',
]);

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

function describeContract(contract: Contract): Row {
  return {
    service: contract.service,
    workspace: contract.workspace,
    region: contract.region,
    targets: contract.targets.length,
    slotsPerTarget: contract.slotsPerTarget,
    slots: contract.targets.length * contract.slotsPerTarget,
    connectionsPerTarget: contract.slotsPerTarget * contract.connectionsPerSlot,
    depositsPerOrderWindow: contract.depositsPerOrderWindow,
    orderWindowMilliseconds: contract.orderWindowMilliseconds,
    floor: `${contract.floorPercent}% = ${floorOf(contract)} targets`,
    deadlineMilliseconds: contract.deadlineMilliseconds,
    retryBudgetPercent: contract.retryBudgetPercent,
    ejection: contract.caution,
  };
}

export default class OperatorQueries {
  private readonly handlers: HandlerTable = {
    'show-contracts': () => [...this.contracts().values()].map(describeContract),
    'show-contract': ({ service }) => this.showContract(service),
    'show-targets': ({ service }) => this.showTargets(service, undefined),
    'show-target': ({ service, target }) => this.showTargets(service, target),
    'show-hosts': () => [this.showSelf()],
    'show-counters': () => this.options.counters.readings().map((reading) => ({ ...reading })),
    'show-routes': () => this.showRoutes(),
    'show-changes': () => this.showChanges(),
    'show-holds': () => this.showHolds(),
    'show-revision': () => [this.showRevision()],
  };

  constructor(private readonly options: OperatorQueriesOptions) {}

  /** Answers a query for the whole fleet. */
  public async answer(query: Query): Promise<readonly Row[]> {
    if (!FLEET_WIDE_QUERIES.has(query.kind)) return this.answerLocally(query);
    const { membership, self } = this.options;
    const others = membership.serving().filter(({ host }) => host.name !== self.name);
    const [own, ...parts] = await Promise.all([
      this.answerLocally(query),
      ...others.map((member) => this.queryMember(member, query)),
    ]);
    const rows = [...(own ?? []), ...parts.flat()];
    if (query.kind === 'show-counters') return sumCounters(rows);
    return [...rows].sort((left, right) => keyOf(left).localeCompare(keyOf(right)));
  }

  /** Answers a query with the rows of this daemon only. */
  public async answerLocally(query: Query): Promise<readonly Row[]> {
    const handler = this.handlers[query.kind] as Handler<QueryKind>;
    return handler(query as never);
  }

  private async queryMember(member: Member, query: Query): Promise<readonly Row[]> {
    const { clients } = this.options;
    const request = create(InspectRequestSchema, { query: JSON.stringify(query) });
    try {
      const reply = await clients.to(member.host).inspect(request, INSPECT_TIMEOUT_MILLISECONDS);
      return JSON.parse(reply.json) as readonly Row[];
    } catch {
      return query.kind === 'show-hosts' ? [describeUnreachable(member)] : [];
    }
  }

  private contracts(): ReadonlyMap<string, Contract> {
    return this.options.store.current.contracts;
  }

  private showContract(service: string): readonly Row[] {
    const contract = this.contracts().get(service);
    if (contract === undefined) return [];
    const settings = Object.entries(describeContract(contract)).map(([setting, value]) => ({
      setting,
      value,
    }));
    const targets = contract.targets.map((target) => ({
      setting: `target ${target.name}`,
      value: `${target.address} in ${target.zone}`,
    }));
    return [...settings, ...targets];
  }

  private showTargets(service: string | undefined, target: string | undefined): readonly Row[] {
    const { registry, reportedLoad } = this.options;
    return registry
      .report(service)
      .filter((report) => target === undefined || report.target === target)
      .map((report) => ({
        service: report.service,
        target: report.target,
        zone: report.zone,
        state: report.isClosed ? 'leaving' : report.state,
        reason: report.isClosed ? 'leaving' : report.reason,
        callerZones: report.callerZones.join(' '),
        slots: `${report.slotsInUse}/${report.slots}`,
        score: round(report.score),
        peerScore: round(report.peerScore),
        steerAt: report.steerScore,
        ejectAt: report.ejectScore,
        meanMilliseconds: round(report.meanMilliseconds),
        peerMilliseconds: round(report.peerMilliseconds),
        failureRate: round(report.failureRate),
        samples: report.samples,
        flaps: report.flaps,
        reportedLoad: reportedLoad(report.address) ?? '',
        keeper: report.keeper,
      }));
  }

  private showSelf(): Row {
    const { self, store, registry, membership, isLogReachable } = this.options;
    const own = membership.members().find(({ host }) => host.name === self.name);
    return {
      host: self.name,
      zone: self.zone,
      region: self.region,
      state: own?.state ?? 'alive',
      revision: store.current.revision,
      offset: store.current.offset,
      isReady: store.isReady,
      lag: describeLag(isLogReachable(), store.current.gaps.length),
      members: membership.serving().length,
      requestsInFlight: registry.inFlight,
      callerAddress: self.callerAddress,
    };
  }

  private showRoutes(): readonly Row[] {
    return [...this.contracts().values()].flatMap((contract) =>
      contract.routes.map((route) => ({
        workspace: contract.workspace,
        host: route.host,
        methods: route.methods.join(',') || 'all',
        pathPrefix: route.pathPrefix,
        service: contract.service,
        requestClass: route.requestClass,
        priority: route.priority,
        isDeposit: route.isDeposit,
      })),
    );
  }

  private showChanges(): readonly Row[] {
    return [...this.options.store.current.remembered.values()].map((change) => ({
      offset: change.offset,
      identity: change.identity,
      author: change.author,
      verdict: change.verdict.kind,
      detail: change.verdict.kind === 'refused' ? change.verdict.detail : change.summary,
    }));
  }

  private showHolds(): readonly Row[] {
    return [...this.options.store.current.holds.values()].map((held) => ({
      service: held.service,
      fingerprint: held.fingerprint,
      until: new Date(held.expiresAt).toISOString(),
    }));
  }

  private showRevision(): Row {
    const { revision, offset } = this.options.store.current;
    return { revision, offset, isReady: this.options.store.isReady };
  }
}

function describeLag(isLogReachable: boolean, gaps: number): string {
  if (gaps > 0) return `${gaps} records not understood by this version`;
  return isLogReachable ? '' : 'log not reachable, follows peers';
}

function describeUnreachable(member: Member): Row {
  const { host, state } = member;
  return {
    host: host.name,
    zone: host.zone,
    region: host.region,
    state,
    revision: '?',
    offset: member.configurationOffset,
    isReady: '?',
    lag: 'does not answer',
    members: '?',
    requestsInFlight: '?',
    callerAddress: host.callerAddress,
  };
}

function keyOf(row: Row): string {
  return `${row.service ?? ''} ${row.target ?? ''} ${row.host ?? ''}`;
}

function sumCounters(rows: readonly Row[]): readonly Row[] {
  const sums = new Map<string, { name: string; reason: string; value: number }>();
  rows.forEach((row) => {
    const name = String(row.name);
    const reason = String(row.reason);
    const key = `${name} ${reason}`;
    const value = (sums.get(key)?.value ?? 0) + Number(row.value);
    sums.set(key, { name, reason, value });
  });
  return [...sums.keys()].sort().flatMap((key) => sums.get(key) ?? []);
}
