/** Creates the parts that manage targets: kept shards, health, ejection leases and holds. */
import { targetKey } from '@cactusrun/configuration';
import type { Target } from '@cactusrun/core';
import { EjectionLeases } from '@cactusrun/health';
import type { Scorer } from '@cactusrun/placement';
import { KeeperIndex } from '@cactusrun/placement';
import { CrashReportSchema, create, ShardHandoverSchema } from '@cactusrun/protocol';
import type { ShardKeeper } from '@cactusrun/requests';
import { CRASHES_TO_HOLD, CrashTracker, HOLD_MILLISECONDS } from '@cactusrun/requests';
import HttpTargetConnector from './HttpTargetConnector.js';
import LogEjectionLeases from './LogEjectionLeases.js';
import ShardRegistry from './ShardRegistry.js';
import TargetProber from './TargetProber.js';
import type { Control, DaemonContext } from './wireControl.js';

const PEER_CALL_TIMEOUT_MILLISECONDS = 1_000;

export function wireTargets(context: DaemonContext, control: Control, scorer: Scorer) {
  const { host, clock, counters, logger } = context;
  const { platform, store, hosts, membership, clients, findHost } = control;
  const log = new LogEjectionLeases(platform, store, host.incarnation);
  const leases = new EjectionLeases({ ...context, holder: host.incarnation, log });
  const connector = new HttpTargetConnector(clock, (service) => {
    const contract = store.current.contracts.get(service);
    return (contract?.slotsPerTarget ?? 1) * (contract?.connectionsPerSlot ?? 1);
  });
  let keptTargets: () => readonly Target[] = () => [];
  const prober = new TargetProber({
    ...context,
    targets: () => keptTargets(),
    lastAnswerAt: (address) => connector.lastAnswerAt(address),
  });
  let onCrash: (key: string, count: number) => void = () => {};
  const crashes = new CrashTracker(clock, counters, (key, count) => onCrash(key, count));
  const index = new KeeperIndex(scorer);

  /** Sends a shard's new keeper the slots and deposits in use here. */
  function handOver(newKeeper: string, shard: string, shardKeeper: ShardKeeper): void {
    const successor = findHost(newKeeper);
    if (successor === undefined) return;
    const { windowStart, started } = shardKeeper.depositUse();
    const slotsInUse = Object.fromEntries(shardKeeper.slotsInUse());
    const handover = create(ShardHandoverSchema, {
      shard,
      windowStart,
      depositsStarted: started,
      slotsInUse,
    });
    clients
      .to(successor)
      .handOver(handover, PEER_CALL_TIMEOUT_MILLISECONDS)
      .catch(() => counters.add('handovers', 'not-delivered'));
  }

  const registry = new ShardRegistry({
    ...context,
    self: host.name,
    scorer,
    index,
    store,
    connector,
    crashes,
    leases,
    isLeavingAddress: (address) =>
      hosts.isLeaving(address) || prober.statusOf(address)?.isDraining === true,
    recordDraining: (address) => prober.recordDraining(address),
    isIsolated: () => membership.isIsolated,
    handOver,
  });
  keptTargets = () => registry.keptTargets();

  /** Reports a crash to the service's other keepers; from the second on, holds the request. */
  onCrash = (key, count) => {
    const [service = '', fingerprint = ''] = key.split('/');
    const report = create(CrashReportSchema, { service, fingerprint, crashes: count });
    const keepers = new Set(registry.shardsOf(service).map((shard) => registry.keeperOf(shard)));
    keepers.delete(host.name);
    keepers.forEach((name) => {
      const peer = name === undefined ? undefined : findHost(name);
      if (peer === undefined) return;
      clients
        .to(peer)
        .reportCrash(report, PEER_CALL_TIMEOUT_MILLISECONDS)
        .catch(() => counters.add('crashes', 'report-not-delivered'));
    });
    if (count < CRASHES_TO_HOLD) return;
    registry.resetTargetHealth(service);
    logger.warn('request-held-back', { service, fingerprint });
    log
      .hold(service, fingerprint, HOLD_MILLISECONDS)
      .catch(() => counters.add('crashes', 'hold-not-recorded'));
  };

  let previousHolds = store.current.holds;
  /** Applies holds by other daemons and lifts by operators from the log to the crash tracker. */
  const syncHolds = (): void => {
    const { holds } = store.current;
    previousHolds.forEach(({ service, fingerprint }, key) => {
      if (!holds.has(key)) crashes.lift(targetKey(service, fingerprint));
    });
    holds.forEach(({ service, fingerprint }, key) => {
      if (!previousHolds.has(key))
        crashes.applyReport(targetKey(service, fingerprint), CRASHES_TO_HOLD);
    });
    previousHolds = holds;
  };
  return { leases, connector, prober, crashes, index, registry, syncHolds };
}

export type Targets = ReturnType<typeof wireTargets>;
