/**
 * The configuration in force on one daemon. Records of the log and states of peers come in from
 * anywhere, in any order, repeated or late; what is in force only ever moves forward.
 */
import type { Clock, Counters } from '@cactusrun/core';
import { EventChannel } from '@cactusrun/core';
import type { ConfigurationState } from './ConfigurationState.js';
import { EMPTY_STATE } from './ConfigurationState.js';
import foldEntry from './foldEntry.js';
import type { LogEntry } from './LogRecord.js';
import { decodeRecord } from './LogRecord.js';

/** Records kept in memory for peers that are a little behind. */
const RECENT_ENTRIES = 512;

export default class ConfigurationStore {
  private state: ConfigurationState = EMPTY_STATE;

  private hasStarted = false;

  private hasCaughtUp = false;

  private recent: LogEntry[] = [];

  private readonly channel = new EventChannel<ConfigurationState>();

  private snapshotSeenAt = Number.NEGATIVE_INFINITY;

  private snapshotOffset = -1;

  private firstLogOffset = 0;

  constructor(
    private readonly counters: Counters,
    private readonly clock: Clock,
  ) {}

  /** The configuration in force; a request keeps the one that it began with. */
  public get current(): ConfigurationState {
    return this.state;
  }

  /** Whether the configuration was learnt from the log or a peer at least once. */
  public get isReady(): boolean {
    return this.hasStarted;
  }

  /** Whether the log was read to its end at least once, so that what comes now is new. */
  public get isLive(): boolean {
    return this.hasCaughtUp;
  }

  /** The log was read to its end. */
  public markCaughtUp(): void {
    this.hasCaughtUp = true;
    this.hasStarted = true;
  }

  /** Calls the listener with each new state; returns a function that ends it. */
  public listen(listener: (state: ConfigurationState) => void): () => void {
    return this.channel.listen(listener);
  }

  /**
   * Folds entries in.
   *
   * @param entries - in the order of their offsets
   * @returns false when records between the state and the first entry are missing
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
    this.hasStarted = true;
    this.recent = [...this.recent, ...fresh].slice(-RECENT_ENTRIES);
    const snapshot = fresh.findLast(isLastPartOfSnapshot);
    if (snapshot !== undefined) {
      this.snapshotSeenAt = this.clock.now();
      this.snapshotOffset = snapshot.offset;
    }
    return true;
  }

  /** Takes a state from a snapshot or a peer if it is newer; an older one changes nothing. */
  public adopt(state: ConfigurationState, source: 'snapshot' | 'peer'): boolean {
    if (!this.isNewer(state)) {
      this.counters.add('adopted_states', `${source}-not-newer`);
      return false;
    }
    this.counters.add('adopted_states', source);
    this.recent = [];
    this.hasStarted = true;
    this.replace(state);
    return true;
  }

  /** Time since a whole snapshot was seen in the log; the time is monotonic milliseconds. */
  public millisecondsSinceSnapshot(now: number): number {
    return now - this.snapshotSeenAt;
  }

  /** Notes the oldest offset that the log still holds. */
  public noteFirstLogOffset(offset: number): void {
    this.firstLogOffset = offset;
  }

  /** Whether the log has dropped records, and holds no snapshot to make up for them. */
  public get isSnapshotMissing(): boolean {
    return this.firstLogOffset > 0 && this.snapshotOffset < this.firstLogOffset;
  }

  /** The entries after an offset, or undefined when they are not all kept here. */
  public entriesAfter(offset: number): readonly LogEntry[] | undefined {
    const first = this.recent[0];
    if (offset >= this.state.offset) return [];
    if (first === undefined || first.offset > offset + 1) return undefined;
    return this.recent.filter((entry) => entry.offset > offset);
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
