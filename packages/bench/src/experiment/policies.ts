/** The health policies that the experiment compares. */
import type { Clock, Contract, EjectionCaution, Stop, TargetHealth } from '@cactusrun/core';
import { Counters, repeatUntilAborted, silentLogger, startTask } from '@cactusrun/core';
import type { CautionLevel } from '@cactusrun/health';
import { EjectionLeases, Ejector, ShardHealth } from '@cactusrun/health';
import ConsecutiveFailures from './ConsecutiveFailures.js';
import LatencyPercentileOutlier from './LatencyPercentileOutlier.js';
import MemoryEjectionLeaseLog from './MemoryEjectionLeaseLog.js';

export type PolicyName =
  | 'consecutive-failures'
  | 'latency-percentile'
  | 'likelihood-swift'
  | 'likelihood-balanced'
  | 'likelihood-careful';

export interface RunningPolicy {
  readonly health: TargetHealth;
  readonly stop: Stop;
}

export type Policy = (clock: Clock, contract: Contract) => RunningPolicy;

const REVIEW_INTERVAL_MILLISECONDS = 200;
const RENEWAL_INTERVAL_MILLISECONDS = 5_000;
const HOLDER = 'experiment';

function targetNamesOf(contract: Contract): readonly string[] {
  return contract.targets.map((target) => target.name);
}

/** The production policy, with the thresholds of a caution or with the given ones. */
export function likelihoodPolicy(caution: EjectionCaution, level?: CautionLevel): Policy {
  return (clock, contract) => {
    const counters = new Counters();
    const log = new MemoryEjectionLeaseLog(clock, HOLDER, contract);
    const leases = new EjectionLeases({
      holder: HOLDER,
      log,
      clock,
      counters,
      logger: silentLogger,
    });
    const { service } = contract;
    const health = new ShardHealth({
      service,
      targets: targetNamesOf(contract),
      caution,
      ...(level === undefined ? {} : { level }),
      clock,
      counters,
      logger: silentLogger,
      isEjected: (target) => leases.isEjected(service, target),
    });
    const ejector = new Ejector({
      service,
      health,
      leases,
      clock,
      otherwiseUnavailable: () => [],
    });
    const runEvery = (milliseconds: number, action: () => Promise<void>): Stop =>
      startTask(
        (signal) =>
          repeatUntilAborted(signal, async () => {
            await clock.sleep(milliseconds, signal);
            await action();
          }),
        () => {},
      );
    const stops = [
      runEvery(REVIEW_INTERVAL_MILLISECONDS, () => ejector.review()),
      runEvery(RENEWAL_INTERVAL_MILLISECONDS, () => leases.renew()),
    ];
    const stop = async () => {
      stops.forEach((stopTask) => stopTask());
    };
    return { health, stop };
  };
}

const noStop: Stop = async () => {};

export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  'consecutive-failures': (clock, contract) => ({
    health: new ConsecutiveFailures(clock, targetNamesOf(contract)),
    stop: noStop,
  }),
  'latency-percentile': (clock, contract) => ({
    health: new LatencyPercentileOutlier(clock, targetNamesOf(contract)),
    stop: noStop,
  }),
  'likelihood-swift': likelihoodPolicy('swift'),
  'likelihood-balanced': likelihoodPolicy('balanced'),
  'likelihood-careful': likelihoodPolicy('careful'),
};
