/**
 * The shards that this daemon is the keeper of (all requests to a shard's targets go through its
 * keeper), as configuration and membership determine. When a shard moves to another daemon, its new
 * keeper receives the slots in use, and requests in flight here finish.
 */
import type { ConfigurationState, ConfigurationStore } from '@cactusrun/configuration';
import { targetKey } from '@cactusrun/configuration';
import type { Clock, Contract, Counters, Logger, Random, Target } from '@cactusrun/core';
import type { EjectionLeases, TargetExplanation } from '@cactusrun/health';
import { Ejector, ShardHealth } from '@cactusrun/health';
import type { KeeperIndex, Scorer, Shard } from '@cactusrun/placement';
import { createShards } from '@cactusrun/placement';
import type { Attempt, AttemptResult, CrashTracker, TargetConnector } from '@cactusrun/requests';
import { refusal, ShardKeeper, shareOfDeposits } from '@cactusrun/requests';
import type { ShardHandover } from '@cactusrun/protocol';

/** Slots that a former keeper reported in use count as free after this time. */
const HANDOVER_TTL_MILLISECONDS = 2_000;

export interface ShardRegistryOptions {
  /** Name of this host. */
  readonly self: string;
  readonly scorer: Scorer;
  readonly index: KeeperIndex;
  readonly store: ConfigurationStore;
  readonly connector: TargetConnector;
  readonly crashes: CrashTracker;
  readonly leases: EjectionLeases;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Whether the host list or the target itself reports that the target is leaving. */
  readonly isLeavingAddress: (address: string) => boolean;
  /** Called with the address of a target that answered that it is draining. */
  readonly recordDraining: (address: string) => void;
  /** Whether no messages arrive from peers, so that this view of the fleet may be outdated. */
  readonly isIsolated: () => boolean;
  /** Sends a shard's new keeper the slots and deposits in use here. */
  readonly handOver: (newKeeper: string, shard: string, shardKeeper: ShardKeeper) => void;
}

interface KeptShard {
  readonly shard: Shard;
  readonly keeper: ShardKeeper;
  readonly health: ShardHealth;
  readonly ejector: Ejector;
}

/** State of one target at its keeper. */
export interface TargetReport extends TargetExplanation {
  readonly service: string;
  readonly zone: string;
  readonly address: string;
  readonly keeper: string;
  readonly slotsInUse: number;
  readonly slots: number;
  /** Whether the target accepts no new requests: drained, leaving or removed. */
  readonly isClosed: boolean;
}

export default class ShardRegistry {
  private readonly kept = new Map<string, KeptShard>();

  private shards = new Map<string, readonly Shard[]>();

  private contracts: ReadonlyMap<string, Contract> = new Map();

  private isStopping = false;

  constructor(private readonly options: ShardRegistryOptions) {}

  /** All shards of a service, whichever daemon keeps them. */
  public shardsOf(service: string): readonly Shard[] {
    return this.shards.get(service) ?? [];
  }

  /** Name of the shard's keeper in this daemon's view of the fleet. */
  public keeperOf(shard: Shard): string | undefined {
    return this.options.index.keeperOf(shard);
  }

  /** Runs one attempt on a shard; refuses it unless this daemon is the keeper. */
  public async run(attempt: Attempt): Promise<AttemptResult> {
    const kept = this.kept.get(attempt.shard);
    if (this.isStopping) return refusal('stopping', this.options.self);
    if (kept === undefined) return refusal('keeper-changed', this.options.self);
    if (this.options.isIsolated()) return refusal('keeper-doubts-itself', this.options.self);
    return kept.keeper.run(attempt);
  }

  /** Acquires and releases shards to match the current configuration and members. */
  public refresh(): void {
    const state = this.options.store.current;
    const previousContracts = this.contracts;
    this.rebuildShards(state);
    const wanted = new Map(
      [...this.shards.values()]
        .flat()
        .filter((shard) => this.options.index.keeperOf(shard) === this.options.self)
        .map((shard) => [shard.id, shard]),
    );
    this.kept.forEach((kept, id) => {
      if (!wanted.has(id)) this.release(kept);
    });
    wanted.forEach((shard) => this.ensureKept(shard, state, previousContracts));
    this.options.counters.set('shards_kept', this.kept.size);
  }

  /** Claims and returns ejection leases according to the targets' health. */
  public async reviewEjections(): Promise<void> {
    await Promise.all([...this.kept.values()].map(({ ejector }) => ejector.review()));
  }

  /** Applies a former keeper's report of the slots and deposits in use. */
  public applyHandover(handover: ShardHandover): void {
    const kept = this.kept.get(handover.shard);
    this.options.counters.add('handovers', kept === undefined ? 'not-kept-here' : 'taken');
    kept?.keeper.applyHandover(
      { windowStart: handover.windowStart, started: handover.depositsStarted },
      new Map(Object.entries(handover.slotsInUse)),
      HANDOVER_TTL_MILLISECONDS,
    );
  }

  /** Clears failures that a poison request caused on the service's targets. */
  public resetTargetHealth(service: string): void {
    [...this.kept.values()]
      .filter(({ shard }) => shard.service === service)
      .forEach(({ shard, health }) => {
        shard.targets.forEach((target) => health.clearEvidence(target.name));
      });
  }

  /** Refuses new requests and hands over every shard. */
  public stopAccepting(): void {
    this.isStopping = true;
    [...this.kept.values()].forEach((kept) => this.release(kept));
  }

  /** Number of requests in flight to targets. */
  public get inFlight(): number {
    return [...this.kept.values()].reduce((sum, { keeper }) => sum + keeper.inFlight, 0);
  }

  /** The targets of the shards that this daemon keeps. */
  public keptTargets(): readonly Target[] {
    return [...this.kept.values()].flatMap(({ shard }) => shard.targets);
  }

  /** Reports of the targets that this daemon keeps, for operators. */
  public report(service: string | undefined): readonly TargetReport[] {
    return [...this.kept.values()]
      .filter(({ shard }) => service === undefined || shard.service === service)
      .flatMap((kept) => this.reportShard(kept));
  }

  private reportShard({ shard, keeper, health }: KeptShard): readonly TargetReport[] {
    const slots = this.contracts.get(shard.service)?.slotsPerTarget ?? 0;
    const use = keeper.slotsInUse();
    return shard.targets.flatMap((target) => {
      const explanation = health.explain(target.name);
      if (explanation === undefined) return [];
      const report: TargetReport = {
        ...explanation,
        service: shard.service,
        zone: target.zone,
        address: target.address,
        keeper: this.options.self,
        slotsInUse: use.get(target.name) ?? 0,
        slots,
        isClosed: keeper.isClosed(target.name),
      };
      return [report];
    });
  }

  private rebuildShards(state: ConfigurationState): void {
    const { scorer } = this.options;
    if (state.contracts === this.contracts) return;
    this.shards = new Map(
      [...state.contracts.values()].map((contract) => {
        const isSame = this.contracts.get(contract.service)?.targets === contract.targets;
        const known = isSame ? this.shards.get(contract.service) : undefined;
        return [contract.service, known ?? createShards(scorer, contract)];
      }),
    );
    this.contracts = state.contracts;
  }

  private depositShare(shard: Shard, contract: Contract): number {
    const shards = this.shardsOf(shard.service);
    const index = shards.findIndex((candidate) => candidate.id === shard.id);
    const sizes = shards.map((candidate) => candidate.targets.length);
    return shareOfDeposits(contract.depositsPerOrderWindow, sizes, index);
  }

  private isClosed(shard: Shard, state: ConfigurationState, name: string): boolean {
    const target = shard.targets.find((candidate) => candidate.name === name);
    const isLeaving = target !== undefined && this.options.isLeavingAddress(target.address);
    return isLeaving || state.drained.has(targetKey(shard.service, name));
  }

  private ensureKept(
    shard: Shard,
    state: ConfigurationState,
    previousContracts: ReadonlyMap<string, Contract>,
  ): void {
    const contract = state.contracts.get(shard.service);
    if (contract === undefined || this.isStopping) return;
    const share = this.depositShare(shard, contract);
    const known = this.kept.get(shard.id);
    const kept = known ?? this.acquire(shard, contract, share, previousContracts);
    kept.health.setTargets(shard.targets.map((target) => target.name));
    kept.keeper.update(contract, shard.targets, share, (name) => this.isClosed(shard, state, name));
    this.kept.set(shard.id, { ...kept, shard });
  }

  private acquire(
    shard: Shard,
    contract: Contract,
    depositShare: number,
    previousContracts: ReadonlyMap<string, Contract>,
  ): KeptShard {
    const { clock, counters, logger, leases, store } = this.options;
    const { service } = shard;
    const health = new ShardHealth({
      ...this.options,
      service,
      targets: shard.targets.map((target) => target.name),
      caution: contract.caution,
      isEjected: (target) => leases.isEjected(service, target),
      onRecovery: () => this.kept.get(shard.id)?.keeper.serveQueue(),
    });
    const keeper = new ShardKeeper({
      ...this.options,
      shard: shard.id,
      contract,
      targets: shard.targets,
      depositShare,
      health,
      onLeaving: (target) => this.options.recordDraining(target.address),
    });
    const ejector = new Ejector({
      service,
      health,
      leases,
      clock,
      otherwiseUnavailable: () => this.closedTargets(service),
    });
    const isNewContract =
      this.contracts !== previousContracts && !previousContracts.has(service) && store.isLive;
    if (!isNewContract) keeper.takeOverWithoutHandover();
    counters.add('shards', 'taken');
    logger.info('shard-taken', { shard: shard.id });
    return { shard, keeper, health, ejector };
  }

  private closedTargets(service: string): readonly string[] {
    return [...this.kept.values()]
      .filter(({ shard }) => shard.service === service)
      .flatMap(({ shard, keeper }) =>
        shard.targets.map((target) => target.name).filter((name) => keeper.isClosed(name)),
      );
  }

  private release(kept: KeptShard): void {
    const { index, counters, logger, handOver, self } = this.options;
    const { shard, keeper, ejector } = kept;
    this.kept.delete(shard.id);
    keeper.refuseQueued();
    ejector.releaseAll().catch(() => counters.add('ejections', 'give-back-failed'));
    const next = index.keeperOf(shard);
    counters.add('shards', 'let-go');
    logger.info('shard-let-go', { shard: shard.id, keeper: next });
    if (next !== undefined && next !== self) handOver(next, shard.id, keeper);
  }
}
