/** One-way network faults between this daemon and others, detected in both directions. */
import type { Counters, Logger } from '@cactusrun/core';

export default class ReachabilityTable {
  /** Members that other daemons reach but this one does not. */
  private readonly unreachedMembers = new Set<string>();

  /** Members that report that they do not reach this daemon. */
  private readonly membersUnableToReachSelf = new Set<string>();

  constructor(
    private readonly counters: Counters,
    private readonly logger: Logger,
  ) {}

  /** Whether this daemon and the member receive each other's messages, as far as known. */
  public isReachable(name: string): boolean {
    return !this.unreachedMembers.has(name) && !this.membersUnableToReachSelf.has(name);
  }

  /** Whether this daemon's direct probes of the member fail. */
  public isUnreached(name: string): boolean {
    return this.unreachedMembers.has(name);
  }

  /** Records whether a direct probe was answered; returns whether that is a change. */
  public recordProbe(name: string, isReached: boolean): boolean {
    return this.setFault(this.unreachedMembers, name, !isReached, 'not-reached');
  }

  /** Records whether the member reports a fault; returns whether that is a change. */
  public recordReport(name: string, isFault: boolean): boolean {
    return this.setFault(this.membersUnableToReachSelf, name, isFault, 'not-heard');
  }

  public remove(name: string): void {
    this.unreachedMembers.delete(name);
    this.membersUnableToReachSelf.delete(name);
  }

  private setFault(set: Set<string>, name: string, isFault: boolean, reason: string): boolean {
    if (set.has(name) === isFault) return false;
    if (isFault) set.add(name);
    else set.delete(name);
    this.counters.add('one_way_faults', isFault ? reason : `${reason}-healed`);
    this.logger.warn('one-way-fault', { member: name, reason, isFault });
    return true;
  }
}
