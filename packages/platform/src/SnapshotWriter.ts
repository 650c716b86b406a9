/**
 * Writes the configuration to the log again before the records that made it expire. Any daemon
 * may; each waits a random time first, and whoever sees a fresh snapshot meanwhile lets it be.
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
  /** How long the platform keeps records. */
  readonly retentionMilliseconds: number;
  /** Daemons of the fleet, as far as is known. */
  readonly memberCount: () => number;
}

/** Snapshots in one span of retention. */
const SNAPSHOTS_PER_RETENTION = 4;
const LONGEST_WAIT_MILLISECONDS = 5_000;
/** Daemons that find a snapshot due wait so much longer, that few write before one is seen. */
const SPREAD_PER_MEMBER_MILLISECONDS = 50;

export default class SnapshotWriter {
  constructor(private readonly options: SnapshotWriterOptions) {}

  /** Writes snapshots as they fall due until the returned function is called. */
  public start(): Stop {
    return startTask(
      (signal) => repeatUntilAborted(signal, () => this.writeWhenDue(signal)),
      (error) => this.options.logger.warn('snapshot-failed', { error: describeError(error) }),
    );
  }

  /** One turn: wait, and write if a snapshot is due and nobody else wrote one meanwhile. */
  public async writeWhenDue(signal: AbortSignal): Promise<void> {
    const { clock, random, store, retentionMilliseconds, memberCount } = this.options;
    const period = retentionMilliseconds / SNAPSHOTS_PER_RETENTION;
    const wait = Math.min(LONGEST_WAIT_MILLISECONDS, period / 2);
    await clock.sleep(wait * (0.5 + random.unit()), signal);
    if (signal.aborted || store.current.revision < 0) return;
    if (!this.isDue(period)) return;
    await clock.sleep(random.unit() * SPREAD_PER_MEMBER_MILLISECONDS * memberCount(), signal);
    if (!signal.aborted && this.isDue(period)) await this.write(store.current);
  }

  private isDue(period: number): boolean {
    const { clock, store } = this.options;
    return store.isSnapshotMissing || store.millisecondsSinceSnapshot(clock.now()) >= period;
  }

  /**
   * Writes a snapshot of the state; a state with gaps is never written.
   *
   * @param isRebase - the log lost records that nobody read, and the fold starts anew from here
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
