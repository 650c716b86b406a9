/**
 * One trial: a policy, a scenario and a seed, on a simulated clock, with the production keeper (the
 * daemon through which all requests to a shard's targets go).
 */
import { Counters, createRandom, ManualClock } from '@cactusrun/core';
import { CrashTracker, ShardKeeper } from '@cactusrun/requests';
import ModelConnector from './ModelConnector.js';
import { modelContract } from './modelService.js';
import ModelTarget from './ModelTarget.js';
import type { Policy } from './policies.js';
import type { Scenario } from './scenarios.js';
import TrialLoad from './TrialLoad.js';
import TrialObserver from './TrialObserver.js';

/** Size, load and limits of a service. */
export interface TrialShape {
  readonly targets: number;
  readonly slots: number;
  readonly requestsPerSecond: number;
  readonly workMilliseconds: number;
  readonly floorPercent: number;
  readonly deadlineMilliseconds: number;
}

export interface TrialResult {
  /** Time from the fault to the unhealthy target's removal; undefined if it was never removed. */
  readonly detectionMilliseconds: number | undefined;
  /** Removals of healthy targets: deprioritized or ejected. */
  readonly falseRemovals: number;
  /** Ejections of healthy targets, which then get no work at all. */
  readonly falseEjections: number;
  readonly targetHours: number;
  readonly requests: number;
  /** Requests without an answer: refused, or with an unknown outcome. */
  readonly lost: number;
  readonly late: number;
  /** Fraction of the trial's target time in which healthy targets were ejected. */
  readonly capacityLost: number;
  /** Samples in which more targets were ejected than the floor allows. */
  readonly floorViolations: number;
}

const WARM_UP_MILLISECONDS = 10_000;
const FAULT_MILLISECONDS = 30_000;
const STEP_MILLISECONDS = 50;
const MILLISECONDS_PER_HOUR = 3_600_000;
const MILLISECONDS_PER_SECOND = 1_000;

export async function runTrial(
  policy: Policy,
  scenario: Scenario,
  shape: TrialShape,
  seed: number,
): Promise<TrialResult> {
  const clock = new ManualClock();
  const random = createRandom(seed);
  const contract = modelContract({ ...shape, retryBudgetPercent: 10, caution: 'balanced' });
  const { health, stop } = policy(clock, contract);
  const models = new Map(
    contract.targets.map((target) => [target.name, new ModelTarget({ ...shape, clock, random })]),
  );
  const counters = new Counters();
  const keeper = new ShardKeeper({
    shard: 'shard',
    contract,
    targets: contract.targets,
    depositShare: 0,
    clock,
    random,
    connector: new ModelConnector(models),
    health,
    crashes: new CrashTracker(clock, counters, () => {}),
    counters,
  });
  const targetNames = [...models.keys()];
  const targets = [...models.values()];
  const floor = Math.ceil((shape.targets * shape.floorPercent) / 100);
  const observer = new TrialObserver(
    targetNames,
    scenario.hasUnhealthyTarget ? targetNames[0] : undefined,
    floor,
    (name) => models.get(name)?.fault.isDown === true,
  );
  const load = new TrialLoad(keeper, clock, random, shape);
  const meanGapMilliseconds = MILLISECONDS_PER_SECOND / shape.requestsPerSecond;
  let isRunning = true;
  const sendNext = () => {
    if (!isRunning) return;
    load.sendOne();
    const loadFactor = clock.now() >= WARM_UP_MILLISECONDS ? scenario.loadFactor : 1;
    clock.after(random.exponential(meanGapMilliseconds / loadFactor), sendNext);
  };
  clock.after(0, sendNext);
  const totalMilliseconds = WARM_UP_MILLISECONDS + FAULT_MILLISECONDS;
  const stepCount = totalMilliseconds / STEP_MILLISECONDS;
  await Array.from({ length: stepCount }).reduce<Promise<void>>(async (previous) => {
    await previous;
    const faultMilliseconds = clock.now() - WARM_UP_MILLISECONDS;
    if (faultMilliseconds >= 0) scenario.apply(targets, faultMilliseconds);
    await clock.advance(STEP_MILLISECONDS);
    observer.observe(
      (target, zone) => health.stateOf(target, zone),
      faultMilliseconds >= 0,
      faultMilliseconds + STEP_MILLISECONDS,
    );
  }, Promise.resolve());
  isRunning = false;
  await stop();
  await clock.advance(shape.deadlineMilliseconds * 2);
  return {
    detectionMilliseconds: observer.detectionMilliseconds,
    falseRemovals: observer.falseRemovals,
    falseEjections: observer.falseEjections,
    targetHours: (totalMilliseconds * shape.targets) / MILLISECONDS_PER_HOUR,
    requests: load.requests,
    lost: load.lost,
    late: load.late,
    capacityLost: observer.capacityLost(stepCount),
    floorViolations: observer.floorViolations,
  };
}
