/** The policies that are tried, in one table. */
import type { Clock, Contract, EjectionCaution, Stop, TargetHealth } from '@cactusrun/core';
import { Counters, repeatUntilAborted, silentLogger, startTask } from '@cactusrun/core';
import type { CautionLevel } from '@cactusrun/health';
import { EjectionShares, Ejector, ShardHealth } from '@cactusrun/health';
import ConsecutiveFailures from './ConsecutiveFailures.js';
import LatencyPercentileOutlier from './LatencyPercentileOutlier.js';
import MemoryShareLog from './MemoryShareLog.js';

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

const REVIEW_MILLISECONDS = 200;
const RENEWAL_MILLISECONDS = 5_000;
const HOLDER = 'experiment';

function namesOf(contract: Contract): readonly string[] {
  return contract.targets.map((target) => target.name);
}

/** The product's own policy, with the thresholds of a caution or with others. */
export function likelihood(caution: EjectionCaution, level?: CautionLevel): Policy {
  return (clock, contract) => {
    const counters = new Counters();
    const log = new MemoryShareLog(clock, HOLDER, contract);
    const shares = new EjectionShares({
      holder: HOLDER,
      log,
      clock,
      counters,
      logger: silentLogger,
    });
    const { service } = contract;
    const health = new ShardHealth({
      service,
      targets: namesOf(contract),
      caution,
      ...(level === undefined ? {} : { level }),
      clock,
      counters,
      logger: silentLogger,
      isEjected: (target) => shares.isEjected(service, target),
    });
    const ejector = new Ejector({
      service,
      health,
      shares,
      clock,
      otherwiseUnavailable: () => [],
    });
    const every = (milliseconds: number, step: () => Promise<void>): Stop =>
      startTask(
        (signal) =>
          repeatUntilAborted(signal, async () => {
            await clock.sleep(milliseconds, signal);
            await step();
          }),
        () => {},
      );
    const stops = [
      every(REVIEW_MILLISECONDS, () => ejector.review()),
      every(RENEWAL_MILLISECONDS, () => shares.renew()),
    ];
    const stop = async () => {
      stops.forEach((end) => end());
    };
    return { health, stop };
  };
}

const nothing: Stop = async () => {};

export const POLICIES: Readonly<Record<PolicyName, Policy>> = {
  'consecutive-failures': (clock, contract) => ({
    health: new ConsecutiveFailures(clock, namesOf(contract)),
    stop: nothing,
  }),
  'latency-percentile': (clock, contract) => ({
    health: new LatencyPercentileOutlier(clock, namesOf(contract)),
    stop: nothing,
  }),
  'likelihood-swift': likelihood('swift'),
  'likelihood-balanced': likelihood('balanced'),
  'likelihood-careful': likelihood('careful'),
};
