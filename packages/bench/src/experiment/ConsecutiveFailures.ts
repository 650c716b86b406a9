/** The usual policy: N failures in a row, then out for a time; published defaults. */
import type { ObservedResult } from '@cactusrun/core';
import TimedEjection from './TimedEjection.js';

const FAILURES_IN_A_ROW = 5;

const FAILED: readonly ObservedResult[] = [
  'error-status',
  'broken',
  'connect-failed',
  'timeout',
  'shed',
];

export default class ConsecutiveFailures extends TimedEjection {
  private readonly failures = new Map<string, number>();

  protected note(target: string, result: ObservedResult): void {
    if (result === 'cancelled') return;
    const failures = FAILED.includes(result) ? (this.failures.get(target) ?? 0) + 1 : 0;
    this.failures.set(target, failures);
    if (failures < FAILURES_IN_A_ROW) return;
    this.failures.set(target, 0);
    this.eject(target);
  }
}
