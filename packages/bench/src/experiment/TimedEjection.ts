/** Common base of the baseline policies, with which the production policy is compared. */
import type {
  Clock,
  Observation,
  ObservedResult,
  TargetHealth,
  TargetState,
} from '@cactusrun/core';

const BASE_EJECTION_MILLISECONDS = 30_000;
const MAXIMUM_EJECTION_MILLISECONDS = 300_000;
const MAXIMUM_EJECTED_FRACTION = 0.1;

/** Ejects for a duration that grows with each ejection, and only a few targets at the same time. */
export default abstract class TimedEjection implements TargetHealth {
  public readonly isDoubtful = false;

  private readonly ejectedUntil = new Map<string, number>();

  private readonly ejectionCounts = new Map<string, number>();

  constructor(
    protected readonly clock: Clock,
    protected readonly targets: readonly string[],
  ) {}

  public stateOf(target: string): TargetState {
    return this.clock.now() < (this.ejectedUntil.get(target) ?? 0) ? 'ejected' : 'preferred';
  }

  // eslint-disable-next-line class-methods-use-this
  public isTrialDue(): boolean {
    return false;
  }

  /** No hedging: a request that is cancelled in time would hide its failure from these policies. */
  // eslint-disable-next-line class-methods-use-this
  public hedgeDelayMilliseconds(): number {
    return Number.POSITIVE_INFINITY;
  }

  public observeAttempt(target: string): Observation {
    const startedAt = this.clock.now();
    let isRunning = true;
    return {
      sentOn: () => {},
      finish: (result) => {
        if (!isRunning) return;
        isRunning = false;
        const elapsedMilliseconds = this.clock.now() - startedAt;
        this.recordResult(target, result, elapsedMilliseconds);
      },
    };
  }

  protected abstract recordResult(
    target: string,
    result: ObservedResult,
    elapsedMilliseconds: number,
  ): void;

  protected eject(target: string): void {
    const now = this.clock.now();
    const ejectedCount = this.targets.filter(
      (name) => now < (this.ejectedUntil.get(name) ?? 0),
    ).length;
    const maximumEjected = Math.max(1, Math.floor(this.targets.length * MAXIMUM_EJECTED_FRACTION));
    if (ejectedCount >= maximumEjected || now < (this.ejectedUntil.get(target) ?? 0)) return;
    const ejectionCount = (this.ejectionCounts.get(target) ?? 0) + 1;
    this.ejectionCounts.set(target, ejectionCount);
    const durationMilliseconds = Math.min(
      MAXIMUM_EJECTION_MILLISECONDS,
      BASE_EJECTION_MILLISECONDS * ejectionCount,
    );
    this.ejectedUntil.set(target, now + durationMilliseconds);
  }
}
