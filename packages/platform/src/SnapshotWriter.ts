/**
 * Writes snapshots of the configuration to the log before the records that it came from expire.
 * Every daemon runs a writer; it waits a random time and writes none if a new one has appeared.
 */
import type { ConfigurationState, ConfigurationStore } from '@cactusrun/configuration';
import { createSnapshotRecords, encodeRecord } from '@cactusrun/configuration';
import type { Clock, Counters, Logger, Random, Stop } from '@cactusrun/core';
import { describeError, inSequence, repeatUntilAborted, startTask } from '@cactusrun/core';
import type { PlatformLog } from './PlatformLog.js';

export interface SnapshotWriterOptions {
  readonly log: PlatformLog;
  readonly store: ConfigurationStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
  /** Time for which the platform retains records. */
  readonly retentionMilliseconds: number;
  /** Number of known daemons of the fleet. */
  readonly memberCount: () => number;
}

/** Snapshots written within one retention time. */
const SNAPSHOTS_PER_RETENTION = 4;
const MAXIMUM_CHECK_INTERVAL_MILLISECONDS = 5_000;
/** Maximum jitter per member, so that few daemons write a due snapshot before one is visible. */
const JITTER_PER_MEMBER_MILLISECONDS = 50;

export default class SnapshotWriter {
  constructor(private readonly options: SnapshotWriterOptions) {}

  /** Writes due snapshots until the returned function is called. */
  public start(): Stop {
    return startTask(
      (signal) => repeatUntilAborted(signal, () => this.writeWhenDue(signal)),
      (error) => this.options.logger.warn('snapshot-failed', { error: describeError(error) }),
    );
  }

  /** Waits, then writes a snapshot if one is due and no other daemon has written one meanwhile. */
  public async writeWhenDue(signal: AbortSignal): Promise<void> {
    const { clock, random, store, retentionMilliseconds, memberCount } = this.options;
    const period = retentionMilliseconds / SNAPSHOTS_PER_RETENTION;
    const checkInterval = Math.min(MAXIMUM_CHECK_INTERVAL_MILLISECONDS, period / 2);
    await clock.sleep(checkInterval * (0.5 + random.unit()), signal);
    if (signal.aborted || store.current.revision < 0) return;
    if (!this.isDue(period)) return;
    await clock.sleep(random.unit() * JITTER_PER_MEMBER_MILLISECONDS * memberCount(), signal);
    if (!signal.aborted && this.isDue(period)) await this.write(store.current);
  }

  private isDue(period: number): boolean {
    const { clock, store } = this.options;
    return store.isSnapshotMissing || store.millisecondsSinceSnapshot(clock.now()) >= period;
  }

  /**
   * Writes a snapshot of the state; a state with gaps is never written.
   *
   * @param isRebase - the log lost records that no daemon read, and all daemons continue from here
   */
  public async write(state: ConfigurationState, isRebase = false): Promise<void> {
    const { log, counters, logger } = this.options;
    if (state.gaps.length > 0) {
      counters.add('snapshots', 'gaps');
      return;
    }
    try {
      await inSequence(createSnapshotRecords(state, isRebase), async (record) => {
        await log.append(encodeRecord(record));
      });
      counters.add('snapshots', 'written');
      logger.info('snapshot-written', { revision: state.revision, offset: state.offset });
    } catch (error) {
      counters.add('snapshots', 'failed');
      logger.warn('snapshot-failed', { error: describeError(error) });
    }
  }
}
