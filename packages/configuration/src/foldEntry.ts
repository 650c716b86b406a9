/** The fold over the log: it alone decides what is in force, identically on every daemon. */
import type { ConfigurationState } from './ConfigurationState.js';
import { filterMap, targetKey, withEntry } from './ConfigurationState.js';
import { isKnownOperation } from './applyOperation.js';
import { foldChange } from './foldChange.js';
import { expireLeases, foldClaim, foldRenewal, foldReturn } from './foldEjection.js';
import type { HoldRecord, LogEntry, LogRecord, LogRecordKind } from './LogRecord.js';
import { decodeRecord } from './LogRecord.js';

type Handler<Kind extends LogRecordKind> = (
  state: ConfigurationState,
  record: Extract<LogRecord, { kind: Kind }>,
  entry: LogEntry,
) => ConfigurationState;

type HandlerTable = { readonly [Kind in LogRecordKind]: Handler<Kind> };

function foldHold(
  state: ConfigurationState,
  record: HoldRecord,
  timestamp: number,
): ConfigurationState {
  const live = filterMap(state.holds, (held) => held.expiresAt > timestamp);
  const held = {
    service: record.service,
    fingerprint: record.fingerprint,
    expiresAt: timestamp + record.holdMilliseconds,
  };
  const key = targetKey(record.service, record.fingerprint);
  return { ...state, holds: withEntry(live, key, held) };
}

const HANDLERS: HandlerTable = {
  change: (state, record, entry) =>
    record.operations.every(isKnownOperation)
      ? foldChange(state, record, entry.offset)
      : { ...state, gaps: [...state.gaps, entry.offset] },
  'snapshot-part': (state) => state,
  'ejection-claim': (state, record, entry) => foldClaim(state, record, entry.timestamp),
  'ejection-renewal': (state, record, entry) => foldRenewal(state, record, entry.timestamp),
  'ejection-return': (state, record) => foldReturn(state, record),
  'request-hold': (state, record, entry) => foldHold(state, record, entry.timestamp),
};

/**
 * Folds one log entry into the state.
 *
 * @returns the next state; the same state for an entry that was folded in before. A record that
 *   this version does not understand advances the offset, is listed in `gaps` and reverts nothing.
 */
export default function foldEntry(state: ConfigurationState, entry: LogEntry): ConfigurationState {
  if (entry.offset <= state.offset) return state;
  const record = decodeRecord(entry.data);
  const current = expireLeases(state, entry.timestamp);
  if (record === undefined) {
    return Object.freeze({
      ...current,
      offset: entry.offset,
      gaps: [...current.gaps, entry.offset],
    });
  }
  const handler = HANDLERS[record.kind] as Handler<LogRecordKind>;
  const next = handler(current, record as never, entry);
  return Object.freeze({ ...next, offset: entry.offset });
}
