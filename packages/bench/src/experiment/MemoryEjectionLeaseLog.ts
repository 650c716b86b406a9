/** In-memory platform log for ejection leases: the production fold and a short append delay. */
import type { ConfigurationState, LogRecord } from '@cactusrun/configuration';
import { EMPTY_STATE, encodeRecord, foldEntry, targetKey } from '@cactusrun/configuration';
import type { Clock, Contract } from '@cactusrun/core';
import type { EjectionLeaseLog, EjectionLeaseView } from '@cactusrun/health';

const APPEND_DELAY_MILLISECONDS = 10;

export default class MemoryEjectionLeaseLog implements EjectionLeaseLog {
  private state: ConfigurationState = EMPTY_STATE;

  constructor(
    private readonly clock: Clock,
    private readonly holder: string,
    contract: Contract,
  ) {
    this.append({
      kind: 'change',
      identity: 'contract',
      author: 'experiment',
      baseRevision: -1,
      operations: [{ kind: 'create-contract', contract }],
    });
  }

  public async claim(
    service: string,
    target: string,
    leaseMilliseconds: number,
    otherwiseUnavailable: readonly string[],
  ): Promise<void> {
    await this.clock.sleep(APPEND_DELAY_MILLISECONDS);
    this.append({
      kind: 'ejection-claim',
      service,
      target,
      holder: this.holder,
      leaseMilliseconds,
      otherwiseUnavailable: [...otherwiseUnavailable],
    });
  }

  public async renew(leaseMilliseconds: number): Promise<number> {
    await this.clock.sleep(APPEND_DELAY_MILLISECONDS);
    this.append({ kind: 'ejection-renewal', holder: this.holder, leaseMilliseconds });
    return this.state.offset;
  }

  public async release(service: string, target: string): Promise<void> {
    await this.clock.sleep(APPEND_DELAY_MILLISECONDS);
    this.append({ kind: 'ejection-return', service, target, holder: this.holder });
  }

  public view(service: string, target: string): EjectionLeaseView | undefined {
    return this.state.claims.get(targetKey(service, target));
  }

  public appliedOffset(): number {
    return this.state.offset;
  }

  private append(record: LogRecord): void {
    this.state = foldEntry(this.state, {
      offset: this.state.offset + 1,
      timestamp: this.clock.wallNow(),
      data: encodeRecord(record),
    });
  }
}
