/** Watches the standing of each target and counts what a trial is about. */
import type { Standing } from '@cactusrun/core';
import { CALLER_ZONES } from './TrialLoad.js';

export default class TrialObserver {
  public detectedAt: number | undefined;

  public falseRemovals = 0;

  public falseEjections = 0;

  public floorBroken = 0;

  private lostTime = 0;

  private readonly last = new Map<string, Standing>();

  constructor(
    private readonly names: readonly string[],
    private readonly sick: string | undefined,
    private readonly floor: number,
    private readonly isDown: (target: string) => boolean,
  ) {}

  public observe(
    standingOf: (target: string, zone: string) => Standing,
    isFault: boolean,
    elapsed: number,
  ): void {
    const standings = this.names.map((name) => worstStanding(standingOf, name));
    standings.forEach((standing, index) => {
      const name = this.names[index] ?? '';
      if (isFault && name === this.sick) this.watchSick(standing, elapsed);
      else this.watchHealthy(name, standing);
      this.last.set(name, standing);
    });
    const ejected = standings.filter((standing) => standing === 'ejected').length;
    if (this.names.length - ejected < this.floor) this.floorBroken += 1;
  }

  public capacityLost(steps: number): number {
    return this.lostTime / (steps * this.names.length);
  }

  private watchSick(standing: Standing, elapsed: number): void {
    if (standing !== 'preferred') this.detectedAt ??= elapsed;
  }

  private watchHealthy(name: string, standing: Standing): void {
    const before = this.last.get(name) ?? 'preferred';
    if (this.isDown(name)) return;
    if (before === 'preferred' && standing !== 'preferred') this.falseRemovals += 1;
    if (before !== 'ejected' && standing === 'ejected') this.falseEjections += 1;
    if (standing === 'ejected') this.lostTime += 1;
  }
}

/** A target that is steered around for some callers counts as found, or as removed, for them. */
function worstStanding(
  standingOf: (target: string, zone: string) => Standing,
  name: string,
): Standing {
  const standings = CALLER_ZONES.map((zone) => standingOf(name, zone));
  return standings.find((standing) => standing !== 'preferred') ?? 'preferred';
}
