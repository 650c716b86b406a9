/** Applies the platform's log to the configuration store; recovers from a snapshot after a gap. */
import type { ConfigurationStore, LogEntry } from '@cactusrun/configuration';
import { findSnapshot } from '@cactusrun/configuration';
import type { Clock, Counters, Logger, Random, Stop } from '@cactusrun/core';
import { describeError, repeatUntilAborted, startTask } from '@cactusrun/core';
import type { LogPage, PlatformLog } from './PlatformLog.js';

const LONG_POLL_MILLISECONDS = 5_000;
const RETRY_BASE_DELAY_MILLISECONDS = 200;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 5_000;
/** Wait for a snapshot or a newer peer before the log is rebased on the local state. */
const REBASE_DELAY_MILLISECONDS = 15_000;

export interface LogFollowerOptions {
  readonly log: PlatformLog;
  readonly store: ConfigurationStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Writes the local state as a snapshot from which every daemon continues. */
  readonly rebase: () => Promise<void>;
}

export default class LogFollower {
  private failures = 0;

  private reachable: boolean | undefined;

  private gapSince: number | undefined;

  constructor(private readonly options: LogFollowerOptions) {}

  /** Whether the last read of the log succeeded. */
  public get isLogReachable(): boolean {
    return this.reachable === true;
  }

  /** Follows the log until the returned function is called. */
  public start(): Stop {
    return startTask(
      (signal) => repeatUntilAborted(signal, () => this.followOnce(signal)),
      (error) => this.options.logger.warn('log-follower-failed', { error: describeError(error) }),
    );
  }

  /** Reads one page of the log and applies it. */
  public async followOnce(signal: AbortSignal): Promise<void> {
    const { log, store, clock, counters } = this.options;
    try {
      const page = await log.read(store.current.offset + 1, LONG_POLL_MILLISECONDS, signal);
      this.setReachable(true);
      this.failures = 0;
      await this.applyPage(page, signal);
    } catch (error) {
      if (signal.aborted) return;
      counters.add('log_reads', 'failed');
      this.setReachable(false);
      await clock.sleep(this.nextRetryDelay(), signal);
    }
  }

  private async applyPage(page: LogPage, signal: AbortSignal): Promise<void> {
    const { store, counters } = this.options;
    const next = store.current.offset + 1;
    counters.add('log_reads', page.entries.length > 0 ? 'records' : 'empty');
    store.setFirstLogOffset(page.firstOffset);
    if (page.firstOffset <= next) this.gapSince = undefined;
    if (page.firstOffset > next) await this.recover(page.firstOffset, signal);
    else if (page.entries.length > 0) store.apply(page.entries);
    if (store.current.offset + 1 >= page.nextOffset) store.markCaughtUp();
  }

  /** The platform deleted records that were not read here: only a snapshot can bridge the gap. */
  private async recover(firstOffset: number, signal: AbortSignal): Promise<void> {
    const { store, counters, logger } = this.options;
    const entries = await this.readAll(firstOffset, [], signal);
    const snapshot = findSnapshot(entries, firstOffset);
    if (snapshot === undefined || !store.adopt(snapshot, 'snapshot')) {
      counters.add('log_reads', 'no-snapshot');
      logger.warn('no-snapshot-in-log', { firstOffset, offset: store.current.offset });
      await this.waitOrRebase(signal);
      return;
    }
    store.apply(entries.filter((entry) => entry.offset > store.current.offset));
  }

  /** After a delay, rebases the log on the local state: perhaps no daemon read the lost records. */
  private async waitOrRebase(signal: AbortSignal): Promise<void> {
    const { clock, store, rebase, counters } = this.options;
    this.gapSince ??= clock.now();
    const isRebaseDue = clock.now() - this.gapSince > REBASE_DELAY_MILLISECONDS;
    if (isRebaseDue && store.current.revision >= 0) {
      counters.add('log_reads', 'rebased');
      this.gapSince = undefined;
      await rebase();
    }
    await clock.sleep(this.nextRetryDelay(), signal);
  }

  private async readAll(
    from: number,
    previousEntries: readonly LogEntry[],
    signal: AbortSignal,
  ): Promise<readonly LogEntry[]> {
    const page = await this.options.log.read(from, 0, signal);
    const entries = [...previousEntries, ...page.entries];
    const next = (page.entries.at(-1)?.offset ?? page.nextOffset) + 1;
    const isEnd = page.entries.length === 0 || next >= page.nextOffset;
    return isEnd ? entries : this.readAll(next, entries, signal);
  }

  private nextRetryDelay(): number {
    this.failures += 1;
    const delay = RETRY_BASE_DELAY_MILLISECONDS * 2 ** Math.min(this.failures, 10);
    return Math.min(MAXIMUM_RETRY_DELAY_MILLISECONDS, delay) * (0.5 + this.options.random.unit());
  }

  private setReachable(isReachable: boolean): void {
    if (this.reachable === isReachable) return;
    this.reachable = isReachable;
    this.options.counters.set('log_reachable', isReachable ? 1 : 0);
    this.options.logger.info('platform-log', { isReachable });
  }
}
