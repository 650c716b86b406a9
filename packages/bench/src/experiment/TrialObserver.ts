/** Samples the state of each target and counts detections, false ejections and floor violations. */
import type { TargetState } from '@cactusrun/core';
import { CALLER_ZONES } from './TrialLoad.js';

export default class TrialObserver {
  public detectionMilliseconds: number | undefined;

  public falseRemovals = 0;

  public falseEjections = 0;

  public floorViolations = 0;

  private ejectedSteps = 0;

  private readonly previousStates = new Map<string, TargetState>();

  constructor(
    private readonly targetNames: readonly string[],
    private readonly unhealthyTarget: string | undefined,
    private readonly floor: number,
    private readonly isDown: (target: string) => boolean,
  ) {}

  public observe(
    stateOf: (target: string, zone: string) => TargetState,
    hasFault: boolean,
    faultMilliseconds: number,
  ): void {
    const states = this.targetNames.map((name) => worstState(stateOf, name));
    states.forEach((state, index) => {
      const name = this.targetNames[index] ?? '';
      if (hasFault && name === this.unhealthyTarget) this.recordUnhealthy(state, faultMilliseconds);
      else this.recordHealthy(name, state);
      this.previousStates.set(name, state);
    });
    const ejected = states.filter((state) => state === 'ejected').length;
    if (this.targetNames.length - ejected < this.floor) this.floorViolations += 1;
  }

  public capacityLost(steps: number): number {
    return this.ejectedSteps / (steps * this.targetNames.length);
  }

  private recordUnhealthy(state: TargetState, faultMilliseconds: number): void {
    if (state !== 'preferred') this.detectionMilliseconds ??= faultMilliseconds;
  }

  private recordHealthy(name: string, state: TargetState): void {
    const previous = this.previousStates.get(name) ?? 'preferred';
    if (this.isDown(name)) return;
    if (previous === 'preferred' && state !== 'preferred') this.falseRemovals += 1;
    if (previous !== 'ejected' && state === 'ejected') this.falseEjections += 1;
    if (state === 'ejected') this.ejectedSteps += 1;
  }
}

/** A target that is deprioritized for the callers of one zone counts as removed. */
function worstState(
  stateOf: (target: string, zone: string) => TargetState,
  name: string,
): TargetState {
  const states = CALLER_ZONES.map((zone) => stateOf(name, zone));
  return states.find((zoneState) => zoneState !== 'preferred') ?? 'preferred';
}
