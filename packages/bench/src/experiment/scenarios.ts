/** The fault scenarios of the experiment. */
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
  /** Whether the first target is unhealthy and must be detected. */
  readonly hasUnhealthyTarget: boolean;
  /** Multiple of the normal load, from the start of the fault. */
  readonly loadFactor: number;
  /** Injects the fault; called at every step with the time since the start of the fault. */
  readonly apply: (targets: readonly ModelTarget[], faultMilliseconds: number) => void;
}

const HEALTHY: TargetFault = {};
const FLAP_INTERVAL_MILLISECONDS = 4_000;
const RESTART_MILLISECONDS = 1_500;
const COLD_MILLISECONDS = 4_000;
const COLD_START_SLOW_FACTOR = 3;

function faultOnFirstTarget(fault: TargetFault): Scenario {
  return {
    hasUnhealthyTarget: true,
    loadFactor: 1,
    apply: ([first], faultMilliseconds) => {
      if (faultMilliseconds === 0) first?.setFault(fault);
    },
  };
}

function faultOnEveryTarget(fault: TargetFault): Scenario {
  return {
    hasUnhealthyTarget: false,
    loadFactor: 1,
    apply: (targets, faultMilliseconds) => {
      if (faultMilliseconds > 0) return;
      targets.forEach((target) => target.setFault(fault));
    },
  };
}

function crashAndColdStart([first]: readonly ModelTarget[], faultMilliseconds: number): void {
  if (first === undefined) return;
  if (faultMilliseconds === 0) first.crash();
  else if (faultMilliseconds >= RESTART_MILLISECONDS && first.fault.isDown) {
    first.setFault({ slowFactor: COLD_START_SLOW_FACTOR });
  } else if (faultMilliseconds >= RESTART_MILLISECONDS + COLD_MILLISECONDS) first.setFault(HEALTHY);
}

export const SCENARIOS: Readonly<Record<ScenarioName, Scenario>> = {
  healthy: { hasUnhealthyTarget: false, loadFactor: 1, apply: () => {} },
  'stall-sparing-probe': faultOnFirstTarget({ stallRate: 1 }),
  'partial-stall': faultOnFirstTarget({ stallRate: 0.3 }),
  slow: faultOnFirstTarget({ slowFactor: 6 }),
  'some-errors': faultOnFirstTarget({ errorRate: 0.3 }),
  'all-errors': faultOnFirstTarget({ errorRate: 1 }),
  'some-callers': faultOnFirstTarget({ stalledZones: ['zone-b'] }),
  flapping: {
    hasUnhealthyTarget: true,
    loadFactor: 1,
    apply: ([first], faultMilliseconds) => {
      const isUnhealthy = Math.floor(faultMilliseconds / FLAP_INTERVAL_MILLISECONDS) % 2 === 0;
      first?.setFault(isUnhealthy ? { stallRate: 1 } : HEALTHY);
    },
  },
  'crash-and-cold-start': { hasUnhealthyTarget: false, loadFactor: 1, apply: crashAndColdStart },
  'slow-link': faultOnEveryTarget({ slowFactor: 5 }),
  overload: { hasUnhealthyTarget: false, loadFactor: 4, apply: () => {} },
  'errors-everywhere': faultOnEveryTarget({ errorRate: 0.4 }),
};
