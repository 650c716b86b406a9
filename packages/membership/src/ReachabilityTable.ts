/** One-way faults between this daemon and others, found from both sides. */
import type { Counters, Logger } from '@cactusrun/core';

export default class ReachabilityTable {
  /** Members that others reach but this daemon does not. */
  private readonly unreached = new Set<string>();

  /** Members that say that they do not reach this daemon. */
  private readonly deaf = new Set<string>();

  constructor(
    private readonly counters: Counters,
    private readonly logger: Logger,
  ) {}

  /** Whether this daemon and the member hear one another, as far as is known. */
  public isReachable(name: string): boolean {
    return !this.unreached.has(name) && !this.deaf.has(name);
  }

  /** Whether this daemon's probes of the member fail. */
  public isUnreached(name: string): boolean {
    return this.unreached.has(name);
  }

  /** Notes whether a probe arrived; returns whether that is a change. */
  public noteProbe(name: string, isReached: boolean): boolean {
    return this.note(this.unreached, name, !isReached, 'not-reached');
  }

  /** Notes what the member says; returns whether that is a change. */
  public noteStatement(name: string, hearsNot: boolean): boolean {
    return this.note(this.deaf, name, hearsNot, 'not-heard');
  }

  /** Forgets a member that is gone. */
  public forget(name: string): void {
    this.unreached.delete(name);
    this.deaf.delete(name);
  }

  private note(set: Set<string>, name: string, isFault: boolean, reason: string): boolean {
    if (set.has(name) === isFault) return false;
    if (isFault) set.add(name);
    else set.delete(name);
    this.counters.add('one_way_faults', isFault ? reason : `${reason}-healed`);
    this.logger.warn('one-way-fault', { member: name, reason, isFault });
    return true;
  }
}
