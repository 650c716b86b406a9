/** Follows the platform's log into the configuration store, and learns from a snapshot first. */
import type { ConfigurationStore, LogEntry } from '@cactusrun/configuration';
import { findSnapshot } from '@cactusrun/configuration';
import type { Clock, Counters, Logger, Random, Stop } from '@cactusrun/core';
import { describeError, repeatUntilAborted, startTask } from '@cactusrun/core';
import type { LogPage, PlatformLog } from './PlatformLog.js';

const WAIT_MILLISECONDS = 5_000;
const FIRST_RETRY_MILLISECONDS = 200;
const LONGEST_RETRY_MILLISECONDS = 5_000;
/** Wait for a snapshot or a newer peer before the fold starts anew from what is known here. */
const REBASE_MILLISECONDS = 15_000;

export interface LogFollowerOptions {
  readonly log: PlatformLog;
  readonly store: ConfigurationStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Writes a snapshot from which the fold starts anew. */
  readonly rebase: () => Promise<void>;
}

export default class LogFollower {
  private failures = 0;

  private reachable: boolean | undefined;

  private stuckSince: number | undefined;

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

  /** Reads one page and folds it in. */
  public async followOnce(signal: AbortSignal): Promise<void> {
    const { log, store, clock, counters } = this.options;
    try {
      const page = await log.read(store.current.offset + 1, WAIT_MILLISECONDS, signal);
      this.noteReachable(true);
      this.failures = 0;
      await this.takePage(page, signal);
    } catch (error) {
      if (signal.aborted) return;
      counters.add('log_reads', 'failed');
      this.noteReachable(false);
      await clock.sleep(this.retryAfter(), signal);
    }
  }

  private async takePage(page: LogPage, signal: AbortSignal): Promise<void> {
    const { store, counters } = this.options;
    const next = store.current.offset + 1;
    counters.add('log_reads', page.entries.length > 0 ? 'records' : 'empty');
    store.noteFirstLogOffset(page.firstOffset);
    if (page.firstOffset <= next) this.stuckSince = undefined;
    if (page.firstOffset > next) await this.recover(page.firstOffset, signal);
    else if (page.entries.length > 0) store.apply(page.entries);
    if (store.current.offset + 1 >= page.nextOffset) store.markCaughtUp();
  }

  /** Records were dropped by the platform: only a snapshot can go on from. */
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

  /** Nobody may have read what the log lost: after a while the fold starts anew. */
  private async waitOrRebase(signal: AbortSignal): Promise<void> {
    const { clock, store, rebase, counters } = this.options;
    this.stuckSince ??= clock.now();
    const isStuck = clock.now() - this.stuckSince > REBASE_MILLISECONDS;
    if (isStuck && store.current.revision >= 0) {
      counters.add('log_reads', 'rebased');
      this.stuckSince = undefined;
      await rebase();
    }
    await clock.sleep(this.retryAfter(), signal);
  }

  private async readAll(
    from: number,
    before: readonly LogEntry[],
    signal: AbortSignal,
  ): Promise<readonly LogEntry[]> {
    const page = await this.options.log.read(from, 0, signal);
    const entries = [...before, ...page.entries];
    const next = (page.entries.at(-1)?.offset ?? page.nextOffset) + 1;
    const isEnd = page.entries.length === 0 || next >= page.nextOffset;
    return isEnd ? entries : this.readAll(next, entries, signal);
  }

  private retryAfter(): number {
    this.failures += 1;
    const wait = FIRST_RETRY_MILLISECONDS * 2 ** Math.min(this.failures, 10);
    return Math.min(LONGEST_RETRY_MILLISECONDS, wait) * (0.5 + this.options.random.unit());
  }

  private noteReachable(isReachable: boolean): void {
    if (this.reachable === isReachable) return;
    this.reachable = isReachable;
    this.options.counters.set('log_reachable', isReachable ? 1 : 0);
    this.options.logger.info('platform-log', { isReachable });
  }
}
