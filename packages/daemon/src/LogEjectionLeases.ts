/** Ejection leases and holds of requests, stored as records in the platform's log. */
import type { ConfigurationStore, LogRecord } from '@cactusrun/configuration';
import { encodeRecord, targetKey } from '@cactusrun/configuration';
import type { EjectionLeaseLog, EjectionLeaseView } from '@cactusrun/health';
import type { PlatformLog } from '@cactusrun/platform';

export default class LogEjectionLeases implements EjectionLeaseLog {
  /** @param holder - incarnation of this daemon */
  constructor(
    private readonly log: PlatformLog,
    private readonly store: ConfigurationStore,
    private readonly holder: string,
  ) {}

  public async claim(
    service: string,
    target: string,
    leaseMilliseconds: number,
    otherwiseUnavailable: readonly string[],
  ): Promise<void> {
    await this.append({
      kind: 'ejection-claim',
      service,
      target,
      holder: this.holder,
      leaseMilliseconds,
      otherwiseUnavailable: [...otherwiseUnavailable],
    });
  }

  public renew(leaseMilliseconds: number): Promise<number> {
    return this.append({ kind: 'ejection-renewal', holder: this.holder, leaseMilliseconds });
  }

  public async release(service: string, target: string): Promise<void> {
    await this.append({ kind: 'ejection-return', service, target, holder: this.holder });
  }

  public view(service: string, target: string): EjectionLeaseView | undefined {
    return this.store.current.claims.get(targetKey(service, target));
  }

  public appliedOffset(): number {
    return this.store.current.offset;
  }

  /** Makes every daemon refuse the request for the time given. */
  public async hold(service: string, fingerprint: string, milliseconds: number): Promise<void> {
    await this.append({
      kind: 'request-hold',
      service,
      fingerprint,
      holdMilliseconds: milliseconds,
    });
  }

  private append(record: LogRecord): Promise<number> {
    return this.log.append(encodeRecord(record));
  }
}
