/** Snapshots of the whole configuration as log records: compressed, in parts of bounded size. */
import { createHash } from 'node:crypto';
import { gunzipSync, gzipSync } from 'node:zlib';
import type { ConfigurationState } from './ConfigurationState.js';
import type { LogEntry, SnapshotPartRecord } from './LogRecord.js';
import { decodeRecord } from './LogRecord.js';
import { FORMAT_VERSION, StateSchema } from './StateSchema.js';

const MAXIMUM_PART_CHARACTERS = 256 * 1024;
const MAXIMUM_SNAPSHOT_BYTES = 256 * 1024 * 1024;

type MapField = 'contracts' | 'claims' | 'holds' | 'remembered' | 'touched';
const MAP_FIELDS: readonly MapField[] = ['contracts', 'claims', 'holds', 'remembered', 'touched'];

/** Serialises and compresses a state for `unpackState`. */
export function packState(state: ConfigurationState): Buffer {
  const maps = Object.fromEntries(MAP_FIELDS.map((field) => [field, [...state[field]]]));
  const { offset, revision, forgottenOffset, gaps } = state;
  const plain = { offset, revision, forgottenOffset, gaps, drained: [...state.drained], ...maps };
  return gzipSync(JSON.stringify({ version: FORMAT_VERSION, ...plain }));
}

/** Reads a state from bytes; undefined if they are damaged or of another format. */
export function unpackState(bytes: Uint8Array): ConfigurationState | undefined {
  try {
    const text = gunzipSync(bytes, { maxOutputLength: MAXIMUM_SNAPSHOT_BYTES }).toString();
    const { data: plain } = StateSchema.safeParse(JSON.parse(text));
    if (plain === undefined) return undefined;
    const { offset, revision, forgottenOffset, gaps } = plain;
    const state = {
      offset,
      revision,
      forgottenOffset,
      gaps,
      drained: new Set(plain.drained),
      contracts: new Map(plain.contracts),
      claims: new Map(plain.claims),
      holds: new Map(plain.holds),
      remembered: new Map(plain.remembered),
      touched: new Map(plain.touched),
    };
    return Object.freeze(state as unknown as ConfigurationState);
  } catch {
    return undefined;
  }
}

/**
 * Creates the log records of a snapshot of the state.
 *
 * @param isRebase - the log lost records that no daemon has read, and the fold restarts from here
 */
export function createSnapshotRecords(
  state: ConfigurationState,
  isRebase = false,
): SnapshotPartRecord[] {
  const data = packState(state).toString('base64');
  const snapshot = createHash('sha256').update(data).digest('hex');
  const count = Math.max(1, Math.ceil(data.length / MAXIMUM_PART_CHARACTERS));
  return Array.from({ length: count }, (_, index) => ({
    kind: 'snapshot-part',
    snapshot,
    coveredOffset: state.offset,
    index,
    count,
    data: data.slice(index * MAXIMUM_PART_CHARACTERS, (index + 1) * MAXIMUM_PART_CHARACTERS),
    isRebase,
  }));
}

function joinParts(parts: readonly SnapshotPartRecord[]): ConfigurationState | undefined {
  const first = parts[0];
  if (first === undefined) return undefined;
  const byIndex = new Map(parts.map((part) => [part.index, part.data]));
  if (byIndex.size !== first.count) return undefined;
  const data = Array.from({ length: first.count }, (_, index) => byIndex.get(index) ?? '').join('');
  const isIntact = createHash('sha256').update(data).digest('hex') === first.snapshot;
  return isIntact ? unpackState(Buffer.from(data, 'base64')) : undefined;
}

interface FoundSnapshot {
  readonly state: ConfigurationState;
  readonly isRebase: boolean;
  /** Offset of the snapshot's last part. */
  readonly completedAt: number;
}

interface SnapshotPartEntry {
  readonly part: SnapshotPartRecord;
  readonly offset: number;
}

function findCompleteSnapshots(entries: readonly LogEntry[]): readonly FoundSnapshot[] {
  const groups = new Map<string, SnapshotPartEntry[]>();
  entries.forEach((entry) => {
    const part = decodeRecord(entry.data);
    if (part?.kind !== 'snapshot-part') return;
    const key = `${part.snapshot} ${part.isRebase}`;
    const group = groups.get(key) ?? [];
    group.push({ part, offset: entry.offset });
    groups.set(key, group);
  });
  return [...groups.values()].flatMap((group) => {
    const state = joinParts(group.map(({ part }) => part));
    const last = group.at(-1);
    if (state === undefined || last === undefined) return [];
    // A state cannot cover records that follow it.
    if (state.offset >= last.offset) return [];
    return [{ state, isRebase: last.part.isRebase, completedAt: last.offset }];
  });
}

/**
 * Finds the newest complete snapshot from which the fold can continue, because every record after
 * the offset it covers is still in the log; if there is none, the newest rebase snapshot.
 *
 * @param firstOffset - the oldest offset that the log still holds
 */
export function findSnapshot(
  entries: readonly LogEntry[],
  firstOffset: number,
): ConfigurationState | undefined {
  const found = findCompleteSnapshots(entries);
  const contiguous = found.filter(({ state }) => state.offset + 1 >= firstOffset);
  const newest = contiguous.reduce<ConfigurationState | undefined>(
    (best, { state }) => (best === undefined || state.offset > best.offset ? state : best),
    undefined,
  );
  if (newest !== undefined) return newest;
  const rebase = found
    .filter(({ isRebase }) => isRebase)
    .reduce<FoundSnapshot | undefined>(
      (best, next) =>
        best === undefined || next.state.revision > best.state.revision ? next : best,
      undefined,
    );
  return rebase && Object.freeze({ ...rebase.state, offset: rebase.completedAt });
}
