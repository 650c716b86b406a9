/** The platform's log in memory, with injectable faults. */
import type { LogEntry } from '@cactusrun/configuration';
import type { Clock } from '@cactusrun/core';
import type { LogPage, PlatformLog } from '@cactusrun/platform';
import { PlatformError } from '@cactusrun/platform';

const POLL_MILLISECONDS = 100;
const CALL_MILLISECONDS = 2_000;
const PAGE_ENTRIES = 100;

export default class FakeLog {
  public isDown = false;

  public delayMilliseconds = 1;

  public losesReplies = false;

  /** Names of hosts that cannot reach the log. */
  public readonly isolated = new Set<string>();

  public entries: LogEntry[] = [];

  public nextOffset = 0;

  constructor(private readonly clock: Clock) {}

  public append(data: string): number {
    const offset = this.nextOffset;
    this.nextOffset += 1;
    this.entries.push({ offset, timestamp: this.clock.wallNow(), data });
    return offset;
  }

  /** Drops the records that are older than the retention time. */
  public expire(retentionMilliseconds: number): void {
    const oldest = this.clock.wallNow() - retentionMilliseconds;
    this.entries = this.entries.filter(({ timestamp }) => timestamp >= oldest);
  }

  /** Drops all records; offsets continue. */
  public dropAll(): void {
    this.entries = [];
  }

  /** The log as seen by one host. */
  public connectFrom(host: string): PlatformLog {
    const check = async (step: string) => {
      await this.clock.sleep(this.delayMilliseconds);
      if (this.isDown || this.isolated.has(host)) throw new PlatformError('down', step, 'refused');
    };
    return {
      append: async (data) => {
        await check('appending');
        const offset = this.append(data);
        if (!this.losesReplies) return offset;
        await this.clock.sleep(CALL_MILLISECONDS);
        throw new PlatformError('reply lost', 'appending', 'in-doubt');
      },
      read: async (from, waitMilliseconds, signal) => {
        await check('reading');
        const end = this.clock.now() + waitMilliseconds;
        while (from >= this.nextOffset && this.clock.now() < end && !signal?.aborted) {
          // eslint-disable-next-line no-await-in-loop
          await this.clock.sleep(POLL_MILLISECONDS, signal);
        }
        await check('reading');
        return this.page(from);
      },
    };
  }

  private page(from: number): LogPage {
    const entries = this.entries.filter(({ offset }) => offset >= from).slice(0, PAGE_ENTRIES);
    const firstOffset = this.entries[0]?.offset ?? this.nextOffset;
    return { firstOffset, nextOffset: this.nextOffset, entries };
  }
}
