/** Wires what decides about targets: the shards kept here, their evidence, shares and holds. */
import { targetKey } from '@cactusrun/configuration';
import type { Target } from '@cactusrun/core';
import { EjectionShares } from '@cactusrun/health';
import type { Scorer } from '@cactusrun/placement';
import { KeeperIndex } from '@cactusrun/placement';
import { CrashReportSchema, create, ShardHandoverSchema } from '@cactusrun/protocol';
import type { ShardKeeper } from '@cactusrun/requests';
import { CRASHES_TO_HOLD, CrashWatch, HOLD_MILLISECONDS } from '@cactusrun/requests';
import HttpTargetConnector from './HttpTargetConnector.js';
import LogShares from './LogShares.js';
import ShardRegistry from './ShardRegistry.js';
import TargetProber from './TargetProber.js';
import type { Control, Surroundings } from './wireControl.js';

const PEER_CALL_MILLISECONDS = 1_000;

export function wireTargets(surroundings: Surroundings, control: Control, scorer: Scorer) {
  const { host, clock, counters, logger } = surroundings;
  const { platform, store, hosts, membership, clients, findHost } = control;
  const log = new LogShares(platform, store, host.incarnation);
  const shares = new EjectionShares({ ...surroundings, holder: host.incarnation, log });
  const connector = new HttpTargetConnector(clock, (service) => {
    const contract = store.current.contracts.get(service);
    return (contract?.slotsPerTarget ?? 1) * (contract?.connectionsPerSlot ?? 1);
  });
  let keptTargets: () => readonly Target[] = () => [];
  const prober = new TargetProber({
    ...surroundings,
    targets: () => keptTargets(),
    lastAnswerAt: (address) => connector.lastAnswerAt(address),
  });
  let onCrash: (key: string, count: number) => void = () => {};
  const crashes = new CrashWatch(clock, counters, (key, count) => onCrash(key, count));
  const index = new KeeperIndex(scorer);

  /** Tells the new keeper of a shard what is in use here. */
  function handOver(keeper: string, shard: string, kept: ShardKeeper): void {
    const successor = findHost(keeper);
    if (successor === undefined) return;
    const { windowStart, started } = kept.depositUse();
    const slotsInUse = Object.fromEntries(kept.use());
    const handover = create(ShardHandoverSchema, {
      shard,
      windowStart,
      depositsStarted: started,
      slotsInUse,
    });
    clients
      .to(successor)
      .handOver(handover, PEER_CALL_MILLISECONDS)
      .catch(() => counters.add('handovers', 'not-delivered'));
  }

  const registry = new ShardRegistry({
    ...surroundings,
    self: host.name,
    scorer,
    index,
    store,
    connector,
    crashes,
    shares,
    isLeavingAddress: (address) =>
      hosts.isLeaving(address) || prober.statementOf(address)?.isDraining === true,
    noteDraining: (address) => prober.noteDraining(address),
    isDoubtful: () => membership.isIsolated,
    handOver,
  });
  keptTargets = () => registry.keptTargets();

  /** Tells the service's other keepers of a crash; holds the request back after the second. */
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
        .reportCrash(report, PEER_CALL_MILLISECONDS)
        .catch(() => counters.add('crashes', 'report-not-delivered'));
    });
    if (count < CRASHES_TO_HOLD) return;
    registry.forgiveTargets(service);
    logger.warn('request-held-back', { service, fingerprint });
    log
      .hold(service, fingerprint, HOLD_MILLISECONDS)
      .catch(() => counters.add('crashes', 'hold-not-recorded'));
  };

  let held = store.current.holds;
  /** Brings the requests held back in line with the log: other daemons' holds, operators' lifts. */
  const followHolds = (): void => {
    const { holds } = store.current;
    held.forEach(({ service, fingerprint }, key) => {
      if (!holds.has(key)) crashes.lift(targetKey(service, fingerprint));
    });
    holds.forEach(({ service, fingerprint }, key) => {
      if (!held.has(key)) crashes.learn(targetKey(service, fingerprint), CRASHES_TO_HOLD);
    });
    held = holds;
  };
  return { shares, connector, prober, crashes, index, registry, followHolds };
}

export type Targets = ReturnType<typeof wireTargets>;
