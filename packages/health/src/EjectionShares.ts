/**
 * The shares of the ejection budget that this daemon holds. A share is claimed through the log and
 * counts as held only while the log shows it and its lease, timed from before the append, has not
 * run out by this daemon's own clock: one that was paused finds out before it acts.
 */
import type { Clock, Counters, Logger } from '@cactusrun/core';
import { describeError } from '@cactusrun/core';

/** How long a share is held without renewal. */
export const EJECTION_LEASE_MILLISECONDS = 15_000;
/** Longest wait until a claim shows in the log. */
const CLAIM_WAIT_MILLISECONDS = 3_000;

/** What the log shows of a target's share. */
export interface ShareView {
  readonly holder: string;
  readonly isRevoked: boolean;
}

/** Appends records of shares to the log; rejects when the log cannot be reached. */
export interface ShareLog {
  claim(
    service: string,
    target: string,
    leaseMilliseconds: number,
    otherwiseUnavailable: readonly string[],
  ): Promise<void>;
  /** Resolves to the offset of the renewal. */
  renew(leaseMilliseconds: number): Promise<number>;
  giveBack(service: string, target: string): Promise<void>;
  /** The share as the log shows it, as far as it was read here. */
  view(service: string, target: string): ShareView | undefined;
  /** The offset up to which the log was read here. */
  appliedOffset(): number;
}

interface PendingRenewal {
  readonly sentAt: number;
  readonly offset: number;
  readonly keys: readonly string[];
}

interface OwnShare {
  readonly service: string;
  readonly target: string;
  /** Monotonic time after which the share must not be used. */
  leaseEnd: number;
  readonly claimedAt: number;
}

export interface EjectionSharesOptions {
  /** Incarnation of this daemon. */
  readonly holder: string;
  readonly log: ShareLog;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class EjectionShares {
  private readonly shares = new Map<string, OwnShare>();

  private pending: PendingRenewal | undefined;

  constructor(private readonly options: EjectionSharesOptions) {}

  /** Whether the target may be kept out of work at this very moment. */
  public isEjected(service: string, target: string): boolean {
    const share = this.shares.get(`${service}/${target}`);
    if (share === undefined || this.options.clock.now() >= share.leaseEnd) return false;
    return this.isShownAsOwn(share);
  }

  /** Time since the share was claimed, or undefined when there is none. */
  public heldFor(service: string, target: string): number | undefined {
    const share = this.shares.get(`${service}/${target}`);
    return share === undefined ? undefined : this.options.clock.now() - share.claimedAt;
  }

  /** The targets for which a share was asked for or is held. */
  public held(): readonly { readonly service: string; readonly target: string }[] {
    return [...this.shares.values()];
  }

  /** Asks for a share; whether it was given shows when the log is read. */
  public async claim(
    service: string,
    target: string,
    otherwiseUnavailable: readonly string[],
  ): Promise<void> {
    const key = `${service}/${target}`;
    if (this.shares.has(key)) return;
    const claimedAt = this.options.clock.now();
    const leaseEnd = claimedAt + EJECTION_LEASE_MILLISECONDS;
    this.shares.set(key, { service, target, leaseEnd, claimedAt });
    await this.append('claim', () =>
      this.options.log.claim(service, target, EJECTION_LEASE_MILLISECONDS, otherwiseUnavailable),
    );
    this.options.counters.add('ejections', 'claimed');
  }

  /** Gives a share back; the target may be offered work from now on. */
  public async giveBack(service: string, target: string): Promise<void> {
    const key = `${service}/${target}`;
    if (!this.shares.delete(key)) return;
    this.options.counters.add('ejections', 'returned');
    this.options.logger.info('ejection-returned', { service, target });
    await this.append('give-back', () => this.options.log.giveBack(service, target));
  }

  /** Renews the leases, and lets go of what was refused, revoked or has lapsed. */
  public async renew(): Promise<void> {
    this.confirm();
    this.dropLost();
    const keys = [...this.shares]
      .filter(([, share]) => this.isShownAsOwn(share))
      .map(([key]) => key);
    if (keys.length === 0) return;
    const sentAt = this.options.clock.now();
    await this.append('renew', async () => {
      const offset = await this.options.log.renew(EJECTION_LEASE_MILLISECONDS);
      this.pending = { sentAt, offset, keys };
    });
  }

  /**
   * Extends the leases whose renewal the log was seen to take. The append alone proves nothing:
   * the share may have run out and gone to another before it.
   */
  public confirm(): void {
    const { pending } = this;
    if (pending === undefined || this.options.log.appliedOffset() < pending.offset) return;
    this.pending = undefined;
    pending.keys.forEach((key) => {
      const share = this.shares.get(key);
      if (share === undefined || !this.isShownAsOwn(share)) return;
      share.leaseEnd = pending.sentAt + EJECTION_LEASE_MILLISECONDS;
    });
  }

  private isShownAsOwn(share: OwnShare): boolean {
    const view = this.options.log.view(share.service, share.target);
    return view !== undefined && view.holder === this.options.holder && !view.isRevoked;
  }

  private dropLost(): void {
    const now = this.options.clock.now();
    this.shares.forEach((share, key) => {
      const isOwn = this.isShownAsOwn(share);
      const isYoung = now - share.claimedAt < CLAIM_WAIT_MILLISECONDS;
      if (isOwn ? now < share.leaseEnd : isYoung) return;
      this.shares.delete(key);
      this.options.counters.add('ejections', isOwn ? 'lapsed' : 'refused-or-revoked');
      const view = this.options.log.view(share.service, share.target);
      if (view?.holder === this.options.holder) {
        this.append('give-back', () => this.options.log.giveBack(share.service, share.target));
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
