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
}

/** A change in the registry: an added or updated entry, or a removed one. */
export type TargetChange =
  | { readonly kind: 'present'; readonly entry: TargetEntry }
  | { readonly kind: 'removed'; readonly id: string };
