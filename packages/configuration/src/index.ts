export { applyOperation } from './applyOperation.js';
export { default as ConfigurationStore } from './ConfigurationStore.js';
export { EMPTY_STATE, targetKey } from './ConfigurationState.js';
export {
  checkAgainst,
  checkContract,
  ContractSchema,
  RouteSchema,
  TargetSchema,
} from './ContractSchema.js';
export { ejectionBudget, LEASE_MARGIN_MILLISECONDS } from './foldEjection.js';
export { evaluateChange, summarizeChange } from './foldChange.js';
export { default as foldEntry } from './foldEntry.js';
export { decodeRecord, encodeRecord } from './LogRecord.js';
export { createSnapshotRecords, findSnapshot, packState, unpackState } from './Snapshot.js';
export type {
  Change,
  ChangeRefusal,
  ChangeVerdict,
  ContractPatch,
  HeldRequest,
  Operation,
  OperationKind,
} from './Change.js';
export type { ConfigurationState, EjectionLease, RememberedChange } from './ConfigurationState.js';
export type { ValidationResult, SchemaProblem } from './ContractSchema.js';
export type { LogEntry, LogRecord, LogRecordKind } from './LogRecord.js';
