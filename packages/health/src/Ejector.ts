/**
 * Ejects unhealthy targets as far as the floor allows, with one lease each, and ends each ejection
 * after a time that doubles with each flap. Trial requests then show whether the target has
 * recovered.
 */
import type { Clock } from '@cactusrun/core';
import type EjectionLeases from './EjectionLeases.js';
import type ShardHealth from './ShardHealth.js';

/** Duration of a first ejection; each flap doubles it. */
const FIRST_EJECTION_MILLISECONDS = 5_000;
const MAXIMUM_EJECTION_MILLISECONDS = 300_000;

export interface EjectorOptions {
  readonly service: string;
  readonly health: ShardHealth;
  readonly leases: EjectionLeases;
  readonly clock: Clock;
  /** Targets of the service that are unavailable for other reasons: leaving, dead, drained. */
  readonly otherwiseUnavailable: () => readonly string[];
}

export default class Ejector {
  constructor(private readonly options: EjectorOptions) {}

  /** Claims leases for the ejection candidates, and releases those whose ejection is over. */
  public async review(): Promise<void> {
    this.options.leases.confirm();
    await Promise.all([...this.claimLeases(), ...this.releaseEndedEjections()]);
  }

  /** Releases all leases of the shard, after another daemon became its keeper. */
  public async releaseAll(): Promise<void> {
    const { service, leases } = this.options;
    await Promise.all(this.leasedTargets().map((target) => leases.release(service, target)));
  }

  private claimLeases(): readonly Promise<void>[] {
    const { health, service, leases, otherwiseUnavailable } = this.options;
    return health
      .ejectionCandidates()
      .map((target) => leases.claim(service, target, otherwiseUnavailable()));
  }

  private releaseEndedEjections(): readonly Promise<void>[] {
    const { service, leases } = this.options;
    return this.leasedTargets()
      .filter((target) => this.isEjectionOver(target))
      .map((target) => leases.release(service, target));
  }

  private leasedTargets(): readonly string[] {
    const { health, service, leases } = this.options;
    return leases
      .held()
      .filter((lease) => lease.service === service && health.explain(lease.target) !== undefined)
      .map((lease) => lease.target);
  }

  private isEjectionOver(target: string): boolean {
    const { health, service, leases } = this.options;
    const elapsed = leases.leaseAge(service, target) ?? 0;
    const duration = FIRST_EJECTION_MILLISECONDS * 2 ** health.flapCount(target);
    return elapsed >= Math.min(MAXIMUM_EJECTION_MILLISECONDS, duration);
  }
}
