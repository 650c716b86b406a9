/** Turns strong evidence into ejections under the floor, and ends them by trial. */
import type { Clock } from '@cactusrun/core';
import type EjectionShares from './EjectionShares.js';
import type ShardHealth from './ShardHealth.js';

/** A first ejection lasts this long; each relapse doubles it. */
const FIRST_EJECTION_MILLISECONDS = 5_000;
const LONGEST_EJECTION_MILLISECONDS = 300_000;

export interface EjectorOptions {
  readonly service: string;
  readonly health: ShardHealth;
  readonly shares: EjectionShares;
  readonly clock: Clock;
  /** Targets of the service that are out for other reasons: leaving, dead, drained. */
  readonly otherwiseUnavailable: () => readonly string[];
}

export default class Ejector {
  constructor(private readonly options: EjectorOptions) {}

  /** Asks for shares for the sickest targets, and gives back those that served their time. */
  public async review(): Promise<void> {
    this.options.shares.confirm();
    await Promise.all([...this.claims(), ...this.returns()]);
  }

  /** Gives every share of the shard back: another daemon keeps it now. */
  public async giveUp(): Promise<void> {
    const { service, shares } = this.options;
    await Promise.all(this.ownTargets().map((target) => shares.giveBack(service, target)));
  }

  private claims(): readonly Promise<void>[] {
    const { health, service, shares, otherwiseUnavailable } = this.options;
    return health
      .ejectionCandidates()
      .map((target) => shares.claim(service, target, otherwiseUnavailable()));
  }

  private returns(): readonly Promise<void>[] {
    const { service, shares } = this.options;
    return this.ownTargets()
      .filter((target) => this.hasServed(target))
      .map((target) => shares.giveBack(service, target));
  }

  private ownTargets(): readonly string[] {
    const { health, service, shares } = this.options;
    return shares
      .held()
      .filter((share) => share.service === service && health.explain(share.target) !== undefined)
      .map((share) => share.target);
  }

  private hasServed(target: string): boolean {
    const { health, service, shares } = this.options;
    const heldFor = shares.heldFor(service, target) ?? 0;
    const due = FIRST_EJECTION_MILLISECONDS * 2 ** health.flapsOf(target);
    return heldFor >= Math.min(LONGEST_EJECTION_MILLISECONDS, due);
  }
}
