/** The records that daemons write to the platform's log, and their JSON encoding. */
import { z } from 'zod';
import type { Change } from './Change.js';

/** An encoded record with its offset in the log and the platform's timestamp. */
export interface LogEntry {
  readonly offset: number;
  /** Milliseconds since the epoch. */
  readonly timestamp: number;
  readonly data: string;
}

const change = z.object({
  kind: z.literal('change'),
  identity: z.string().min(1),
  author: z.string(),
  baseRevision: z.number().int(),
  operations: z.array(z.looseObject({ kind: z.string() })).min(1),
});

const snapshotPart = z.object({
  kind: z.literal('snapshot-part'),
  snapshot: z.string().min(1),
  coveredOffset: z.number().int(),
  index: z.number().int().min(0),
  count: z.number().int().min(1).max(10_000),
  data: z.string(),
  /** The log lost records that no daemon has read: the fold restarts from this state. */
  isRebase: z.boolean().default(false),
});

const claim = z.object({
  kind: z.literal('ejection-claim'),
  service: z.string(),
  target: z.string(),
  holder: z.string(),
  leaseMilliseconds: z.number().int().min(1),
  /** Targets that the holder considers unavailable for other reasons: leaving, dead. */
  otherwiseUnavailable: z.array(z.string()),
});

const renewal = z.object({
  kind: z.literal('ejection-renewal'),
  holder: z.string(),
  leaseMilliseconds: z.number().int().min(1),
});

const ejectionReturn = z.object({
  kind: z.literal('ejection-return'),
  service: z.string(),
  target: z.string(),
  holder: z.string(),
});

const hold = z.object({
  kind: z.literal('request-hold'),
  service: z.string(),
  fingerprint: z.string(),
  holdMilliseconds: z.number().int().min(1),
});

const LogRecordSchema = z.discriminatedUnion('kind', [
  change,
  snapshotPart,
  claim,
  renewal,
  ejectionReturn,
  hold,
]);

export type ChangeRecord = Change & { readonly kind: 'change' };
export type SnapshotPartRecord = z.infer<typeof snapshotPart>;
export type ClaimRecord = z.infer<typeof claim>;
export type RenewalRecord = z.infer<typeof renewal>;
export type ReturnRecord = z.infer<typeof ejectionReturn>;
export type HoldRecord = z.infer<typeof hold>;
export type LogRecord =
  ChangeRecord | SnapshotPartRecord | ClaimRecord | RenewalRecord | ReturnRecord | HoldRecord;
export type LogRecordKind = LogRecord['kind'];

/** Decodes a record; undefined for one that this version does not understand. */
export function decodeRecord(data: string): LogRecord | undefined {
  try {
    const result = LogRecordSchema.safeParse(JSON.parse(data));
    return result.success ? (result.data as unknown as LogRecord) : undefined;
  } catch {
    return undefined;
  }
}

/** Encodes a record for `decodeRecord`. */
export function encodeRecord(record: LogRecord): string {
  return JSON.stringify(record);
}
