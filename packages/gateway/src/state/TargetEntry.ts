/** One target as the platform's registry lists it. */
export interface TargetEntry {
  /** Identifies one start of the target's process. */
  readonly id: string;
  /** `ip:port`. */
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  /** Number of requests that the target runs concurrently. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Remaining time of its cold start when the entry was read. */
  readonly coldMilliseconds: number;
  /** Milliseconds since the epoch at which the process started. */
  readonly bornAt: number;
  /** Number of heartbeats since then; orders the entries of one process. */
  readonly sequence: number;
}

/** Whether an entry was written before another one of the same id. */
export function isOlderEntry(
  { bornAt, sequence }: TargetEntry,
  other: Pick<TargetEntry, 'bornAt' | 'sequence'>,
): boolean {
  return bornAt < other.bornAt || (bornAt === other.bornAt && sequence < other.sequence);
}

/** A change in the registry: an added or updated entry, or a removed one. */
export type TargetChange =
  | { readonly kind: 'present'; readonly entry: TargetEntry }
  | { readonly kind: 'removed'; readonly id: string };
