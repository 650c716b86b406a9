/**
 * The ejection leases of this daemon. A lease is claimed through the log and is valid only while
 * the log shows it and its duration, measured from before the append, has not elapsed on this
 * daemon's monotonic clock: a daemon that was paused past its lease notices before it ejects.
 */
import type { Clock, Counters, Logger } from '@cactusrun/core';
import { describeError } from '@cactusrun/core';

/** Duration of a lease without renewal. */
export const EJECTION_LEASE_MILLISECONDS = 15_000;
/** A claim that does not appear in the log within this time has failed. */
const CLAIM_TIMEOUT_MILLISECONDS = 3_000;

/** The lease of a target, as the log shows it. */
export interface EjectionLeaseView {
  readonly holder: string;
  readonly isRevoked: boolean;
}

/** Appends lease records to the log; rejects if the log is unreachable. */
export interface EjectionLeaseLog {
  claim(
    service: string,
    target: string,
    leaseMilliseconds: number,
    otherwiseUnavailable: readonly string[],
  ): Promise<void>;
  /** Resolves to the offset of the renewal. */
  renew(leaseMilliseconds: number): Promise<number>;
  release(service: string, target: string): Promise<void>;
  /** The lease of a target, according to the part of the log that this daemon has applied. */
  view(service: string, target: string): EjectionLeaseView | undefined;
  /** The offset up to which this daemon has applied the log. */
  appliedOffset(): number;
}

interface PendingRenewal {
  readonly sentAt: number;
  readonly offset: number;
  readonly keys: readonly string[];
}

interface OwnLease {
  readonly service: string;
  readonly target: string;
  /** Monotonic time after which the lease must not be used. */
  leaseEnd: number;
  readonly claimedAt: number;
}

export interface EjectionLeasesOptions {
  /** Incarnation of this daemon. */
  readonly holder: string;
  readonly log: EjectionLeaseLog;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class EjectionLeases {
  private readonly leases = new Map<string, OwnLease>();

  private pending: PendingRenewal | undefined;

  constructor(private readonly options: EjectionLeasesOptions) {}

  /** Whether this daemon may withhold requests from the target now. */
  public isEjected(service: string, target: string): boolean {
    const lease = this.leases.get(`${service}/${target}`);
    if (lease === undefined || this.options.clock.now() >= lease.leaseEnd) return false;
    return this.isOwnInLog(lease);
  }

  /** Milliseconds since the lease was claimed, or undefined if there is none. */
  public leaseAge(service: string, target: string): number | undefined {
    const lease = this.leases.get(`${service}/${target}`);
    return lease === undefined ? undefined : this.options.clock.now() - lease.claimedAt;
  }

  /** The targets whose lease is claimed or held. */
  public held(): readonly { readonly service: string; readonly target: string }[] {
    return [...this.leases.values()];
  }

  /** Claims a lease; it is granted only when the log shows it. */
  public async claim(
    service: string,
    target: string,
    otherwiseUnavailable: readonly string[],
  ): Promise<void> {
    const key = `${service}/${target}`;
    if (this.leases.has(key)) return;
    const claimedAt = this.options.clock.now();
    const leaseEnd = claimedAt + EJECTION_LEASE_MILLISECONDS;
    this.leases.set(key, { service, target, leaseEnd, claimedAt });
    await this.append('claim', () =>
      this.options.log.claim(service, target, EJECTION_LEASE_MILLISECONDS, otherwiseUnavailable),
    );
    this.options.counters.add('ejections', 'claimed');
  }

  /** Releases a lease; the target may receive requests again. */
  public async release(service: string, target: string): Promise<void> {
    const key = `${service}/${target}`;
    if (!this.leases.delete(key)) return;
    this.options.counters.add('ejections', 'returned');
    this.options.logger.info('ejection-returned', { service, target });
    await this.append('give-back', () => this.options.log.release(service, target));
  }

  /** Renews the leases, and drops those that were refused or revoked or have lapsed. */
  public async renew(): Promise<void> {
    this.confirm();
    this.dropLostLeases();
    const keys = [...this.leases].filter(([, lease]) => this.isOwnInLog(lease)).map(([key]) => key);
    if (keys.length === 0) return;
    const sentAt = this.options.clock.now();
    await this.append('renew', async () => {
      const offset = await this.options.log.renew(EJECTION_LEASE_MILLISECONDS);
      this.pending = { sentAt, offset, keys };
    });
  }

  /**
   * Extends the leases whose renewal has been applied from the log. A successful append is not
   * enough: the lease may have expired and been granted to another daemon before it.
   */
  public confirm(): void {
    const { pending } = this;
    if (pending === undefined || this.options.log.appliedOffset() < pending.offset) return;
    this.pending = undefined;
    pending.keys.forEach((key) => {
      const lease = this.leases.get(key);
      if (lease === undefined || !this.isOwnInLog(lease)) return;
      lease.leaseEnd = pending.sentAt + EJECTION_LEASE_MILLISECONDS;
    });
  }

  private isOwnInLog(lease: OwnLease): boolean {
    const view = this.options.log.view(lease.service, lease.target);
    return view !== undefined && view.holder === this.options.holder && !view.isRevoked;
  }

  private dropLostLeases(): void {
    const now = this.options.clock.now();
    this.leases.forEach((lease, key) => {
      const isOwn = this.isOwnInLog(lease);
      const isClaimPending = now - lease.claimedAt < CLAIM_TIMEOUT_MILLISECONDS;
      if (isOwn ? now < lease.leaseEnd : isClaimPending) return;
      this.leases.delete(key);
      this.options.counters.add('ejections', isOwn ? 'lapsed' : 'refused-or-revoked');
      const view = this.options.log.view(lease.service, lease.target);
      if (view?.holder === this.options.holder) {
        this.append('give-back', () => this.options.log.release(lease.service, lease.target));
      }
    });
  }

  private async append(step: string, write: () => Promise<void>): Promise<void> {
    try {
      await write();
    } catch (error) {
      this.options.counters.add('ejections', `${step}-failed`);
      this.options.logger.warn('share-append-failed', { step, error: describeError(error) });
    }
  }
}
