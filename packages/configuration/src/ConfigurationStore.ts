/**
 * The configuration in force on one daemon. Log records and states of peers may arrive in any
 * order, repeatedly or late; the configuration in force only moves forward.
 */
import type { Clock, Counters } from '@cactusrun/core';
import { EventChannel } from '@cactusrun/core';
import type { ConfigurationState } from './ConfigurationState.js';
import { EMPTY_STATE } from './ConfigurationState.js';
import foldEntry from './foldEntry.js';
import type { LogEntry } from './LogRecord.js';
import { decodeRecord } from './LogRecord.js';

/** Log entries kept in memory for peers that lag slightly. */
const RECENT_ENTRY_LIMIT = 512;

export default class ConfigurationStore {
  private state: ConfigurationState = EMPTY_STATE;

  private hasConfiguration = false;

  private hasCaughtUp = false;

  private recentEntries: LogEntry[] = [];

  private readonly channel = new EventChannel<ConfigurationState>();

  private snapshotSeenAt = Number.NEGATIVE_INFINITY;

  private snapshotOffset = -1;

  private firstLogOffset = 0;

  constructor(
    private readonly counters: Counters,
    private readonly clock: Clock,
  ) {}

  /** The configuration in force; a request keeps the one with which it started. */
  public get current(): ConfigurationState {
    return this.state;
  }

  /** Whether the configuration was loaded from the log or a peer at least once. */
  public get isReady(): boolean {
    return this.hasConfiguration;
  }

  /** Whether the log was read to its end at least once, so that later entries are new. */
  public get isLive(): boolean {
    return this.hasCaughtUp;
  }

  /** Records that the log was read to its end. */
  public markCaughtUp(): void {
    this.hasCaughtUp = true;
    this.hasConfiguration = true;
  }

  /** Calls the listener with each new state; returns a function that unsubscribes it. */
  public listen(listener: (state: ConfigurationState) => void): () => void {
    return this.channel.listen(listener);
  }

  /**
   * Folds log entries into the state.
   *
   * @param entries - in order of their offsets
   * @returns false, without any effect on the state, when a record before one of them is missing
   */
  public apply(entries: readonly LogEntry[]): boolean {
    const fresh = entries.filter((entry) => entry.offset > this.state.offset);
    this.counters.add('log_entries', 'repeated', entries.length - fresh.length);
    const isContiguous = fresh.every(
      (entry, index) => entry.offset === this.state.offset + 1 + index,
    );
    if (!isContiguous) {
      this.counters.add('log_entries', 'missing-before');
      return false;
    }
    if (fresh.length > 0) this.replace(fresh.reduce(foldEntry, this.state));
    this.hasConfiguration = true;
    this.recentEntries = [...this.recentEntries, ...fresh].slice(-RECENT_ENTRY_LIMIT);
    const snapshot = fresh.findLast(isLastPartOfSnapshot);
    if (snapshot !== undefined) {
      this.snapshotSeenAt = this.clock.now();
      this.snapshotOffset = snapshot.offset;
    }
    return true;
  }

  /** Adopts a state from a snapshot or a peer if it is newer than the current one. */
  public adopt(state: ConfigurationState, source: 'snapshot' | 'peer'): boolean {
    if (!this.isNewer(state)) {
      this.counters.add('adopted_states', `${source}-not-newer`);
      return false;
    }
    this.counters.add('adopted_states', source);
    this.recentEntries = [];
    this.hasConfiguration = true;
    this.replace(state);
    return true;
  }

  /** Time since the end of a snapshot was seen in the log; `now` is monotonic milliseconds. */
  public millisecondsSinceSnapshot(now: number): number {
    return now - this.snapshotSeenAt;
  }

  /** Sets the oldest offset that the log still holds. */
  public setFirstLogOffset(offset: number): void {
    this.firstLogOffset = offset;
  }

  /** Whether the log has dropped records and holds no snapshot that replaces them. */
  public get isSnapshotMissing(): boolean {
    return this.firstLogOffset > 0 && this.snapshotOffset < this.firstLogOffset;
  }

  /** The entries after an offset; undefined if not all of them are kept in memory. */
  public entriesAfter(offset: number): readonly LogEntry[] | undefined {
    const first = this.recentEntries[0];
    if (offset >= this.state.offset) return [];
    if (first === undefined || first.offset > offset + 1) return undefined;
    return this.recentEntries.filter((entry) => entry.offset > offset);
  }

  private isNewer(state: ConfigurationState): boolean {
    if (state.revision < this.state.revision) return false;
    const fillsGaps = state.gaps.length < this.state.gaps.length;
    if (state.offset === this.state.offset) return fillsGaps;
    return (
      state.offset > this.state.offset &&
      (fillsGaps || state.gaps.length === this.state.gaps.length)
    );
  }

  private replace(state: ConfigurationState): void {
    const before = this.state;
    this.state = state;
    this.counters.set('configuration_revision', state.revision);
    this.counters.set('configuration_offset', state.offset);
    if (before !== state) this.channel.publish(state);
  }
}

function isLastPartOfSnapshot(entry: LogEntry): boolean {
  const record = decodeRecord(entry.data);
  return record?.kind === 'snapshot-part' && record.index === record.count - 1;
}
