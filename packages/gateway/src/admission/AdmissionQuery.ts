/** What the admission of requests under overload is asked, and what it answers. */

export interface AdmissionQuery {
  /** The attempt id that the caller set. */
  readonly id: string;
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Name of the caller's workspace, where callers have one. */
  readonly workspace: string | undefined;
  /** What is left of the latency objective. */
  readonly objectiveMilliseconds: number;
  /** Monotonic time by which the caller needs its answer. */
  readonly deadline: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Why a request is refused. */
export type ShedReason =
  /** On arrival: it would wait longer than pays for it. */
  | 'wait-too-long'
  /** On arrival: too many wait. */
  | 'queue-full'
  /** After a wait: its answer would come too late. */
  | 'wait-expired';

export type AdmissionResult =
  | {
      readonly kind: 'admitted';
      /** Whether it was admitted for a free slot of another region, so that it must not queue. */
      readonly needsFreeSlot: boolean;
    }
  | { readonly kind: 'refused'; readonly freeInMilliseconds: number }
  | { readonly kind: 'cancelled' };
