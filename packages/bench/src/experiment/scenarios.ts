/** The faults that policies are tried against, in one table. */
import type { TargetFault } from './ModelTarget.js';
import type ModelTarget from './ModelTarget.js';

export type ScenarioName =
  | 'healthy'
  | 'stall-sparing-probe'
  | 'partial-stall'
  | 'slow'
  | 'some-errors'
  | 'all-errors'
  | 'some-callers'
  | 'flapping'
  | 'crash-and-cold-start'
  | 'slow-link'
  | 'overload'
  | 'errors-everywhere';

export interface Scenario {
  /** Whether the first target is sick, so that it should be found. */
  readonly hasSickTarget: boolean;
  /** Load, as a multiple of the usual one, from the fault on. */
  readonly loadFactor: number;
  /** Brings the fault about; the time is since its start, in milliseconds. */
  readonly apply: (targets: readonly ModelTarget[], elapsed: number) => void;
}

const HEALTHY: TargetFault = {};
const FLAP_MILLISECONDS = 4_000;
const RESTART_MILLISECONDS = 1_500;
const COLD_MILLISECONDS = 4_000;
const COLD_SLOW_FACTOR = 3;

function firstTarget(fault: TargetFault): Scenario {
  return {
    hasSickTarget: true,
    loadFactor: 1,
    apply: ([first], elapsed) => {
      if (elapsed === 0) first?.setFault(fault);
    },
  };
}

function everyTarget(fault: TargetFault): Scenario {
  return {
    hasSickTarget: false,
    loadFactor: 1,
    apply: (targets, elapsed) => {
      if (elapsed > 0) return;
      targets.forEach((target) => target.setFault(fault));
    },
  };
}

function crash([first]: readonly ModelTarget[], elapsed: number): void {
  if (first === undefined) return;
  if (elapsed === 0) first.crash();
  else if (elapsed >= RESTART_MILLISECONDS && first.fault.isDown) {
    first.setFault({ slowFactor: COLD_SLOW_FACTOR });
  } else if (elapsed >= RESTART_MILLISECONDS + COLD_MILLISECONDS) first.setFault(HEALTHY);
}

export const SCENARIOS: Readonly<Record<ScenarioName, Scenario>> = {
  healthy: { hasSickTarget: false, loadFactor: 1, apply: () => {} },
  'stall-sparing-probe': firstTarget({ stallRate: 1 }),
  'partial-stall': firstTarget({ stallRate: 0.3 }),
  slow: firstTarget({ slowFactor: 6 }),
  'some-errors': firstTarget({ errorRate: 0.3 }),
  'all-errors': firstTarget({ errorRate: 1 }),
  'some-callers': firstTarget({ refusedZones: ['zone-b'] }),
  flapping: {
    hasSickTarget: true,
    loadFactor: 1,
    apply: ([first], elapsed) => {
      const isSick = Math.floor(elapsed / FLAP_MILLISECONDS) % 2 === 0;
      first?.setFault(isSick ? { stallRate: 1 } : HEALTHY);
    },
  },
  'crash-and-cold-start': { hasSickTarget: false, loadFactor: 1, apply: crash },
  'slow-link': everyTarget({ slowFactor: 5 }),
  overload: { hasSickTarget: false, loadFactor: 4, apply: () => {} },
  'errors-everywhere': everyTarget({ errorRate: 0.4 }),
};
