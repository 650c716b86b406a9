/** What the platform's registry says of one target. */
export interface TargetEntry {
  /** Names one start of the target's process. */
  readonly id: string;
  /** `ip:port`. */
  readonly address: string;
  readonly service: string;
  readonly zone: string;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** How much longer it is slow after its start, when the entry was read. */
  readonly coldMilliseconds: number;
  /** Milliseconds since the epoch at which the process started. */
  readonly bornAt: number;
}

/** A change in the registry: a new or changed entry, or the removal of one. */
export type TargetChange =
  | { readonly kind: 'present'; readonly entry: TargetEntry }
  | { readonly kind: 'removed'; readonly id: string };
