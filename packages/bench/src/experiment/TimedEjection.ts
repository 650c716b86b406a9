/** What the usual policies share, against which the product's own is measured. */
import type { Clock, Observation, ObservedResult, Standing, TargetHealth } from '@cactusrun/core';

const EJECTION_MILLISECONDS = 30_000;
const LONGEST_EJECTION_MILLISECONDS = 300_000;
const MAXIMUM_EJECTED_SHARE = 0.1;

/** What both baselines share: a target is out for a time that grows, and few are out at once. */
export default abstract class TimedEjection implements TargetHealth {
  public readonly isDoubtful = false;

  private readonly until = new Map<string, number>();

  private readonly times = new Map<string, number>();

  constructor(
    protected readonly clock: Clock,
    protected readonly targets: readonly string[],
  ) {}

  public standing(target: string): Standing {
    return this.clock.now() < (this.until.get(target) ?? 0) ? 'ejected' : 'preferred';
  }

  // eslint-disable-next-line class-methods-use-this
  public isTrialDue(): boolean {
    return false;
  }

  /** No hedging: a request that is cancelled in time would hide its failure from these policies. */
  // eslint-disable-next-line class-methods-use-this
  public lateAfterMilliseconds(): number {
    return Number.POSITIVE_INFINITY;
  }

  public started(target: string): Observation {
    const startedAt = this.clock.now();
    let isOpen = true;
    return {
      sentOn: () => {},
      finish: (result) => {
        if (!isOpen) return;
        isOpen = false;
        const elapsed = this.clock.now() - startedAt;
        this.note(target, result, elapsed);
      },
    };
  }

  protected abstract note(target: string, result: ObservedResult, elapsed: number): void;

  protected eject(target: string): void {
    const now = this.clock.now();
    const out = this.targets.filter((name) => now < (this.until.get(name) ?? 0)).length;
    const most = Math.max(1, Math.floor(this.targets.length * MAXIMUM_EJECTED_SHARE));
    if (out >= most || now < (this.until.get(target) ?? 0)) return;
    const times = (this.times.get(target) ?? 0) + 1;
    this.times.set(target, times);
    const duration = Math.min(LONGEST_EJECTION_MILLISECONDS, EJECTION_MILLISECONDS * times);
    this.until.set(target, now + duration);
  }
}
