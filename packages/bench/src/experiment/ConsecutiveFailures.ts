/** Baseline policy: ejects a target after N consecutive failures, with common published defaults. */
import type { ObservedResult } from '@cactusrun/core';
import TimedEjection from './TimedEjection.js';

const EJECTION_FAILURE_COUNT = 5;

const FAILED_RESULTS: readonly ObservedResult[] = [
  'error-status',
  'broken',
  'connect-failed',
  'timeout',
  'shed',
];

export default class ConsecutiveFailures extends TimedEjection {
  private readonly consecutiveFailures = new Map<string, number>();

  protected recordResult(target: string, result: ObservedResult): void {
    if (result === 'cancelled') return;
    const failures = FAILED_RESULTS.includes(result)
      ? (this.consecutiveFailures.get(target) ?? 0) + 1
      : 0;
    this.consecutiveFailures.set(target, failures);
    if (failures < EJECTION_FAILURE_COUNT) return;
    this.consecutiveFailures.set(target, 0);
    this.eject(target);
  }
}
