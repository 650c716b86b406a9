/** What the choice of a target is asked, and what it answers. */
import type { RequestKind } from '../state/GatewayConfiguration.js';
import type { KnownTarget } from '../state/TargetTable.js';
import type { DueReason } from './TargetCoverage.js';

export interface PickQuery {
  readonly service: string;
  readonly kind: RequestKind;
  readonly bodyBytes: number;
  /** Expected length of the answer; none is expected if absent. */
  readonly answerBytes?: number;
  readonly objectiveMilliseconds: number;
  /** Remaining time until the caller's deadline. */
  readonly remainingMilliseconds: number;
  /** Targets that already received this request or could not be reached for it. */
  readonly excluded: ReadonlySet<string>;
  /** Whether a target without a queue is preferred wherever it is; not by default. */
  readonly needsFreeSlot?: boolean;
}

export interface Pick {
  readonly target: KnownTarget;
  /** Expected time until the answer. */
  readonly expectedMilliseconds: number;
  /** Expected time until the target starts the request. */
  readonly waitMilliseconds: number;
  readonly failureProbability: number;
  /** Requests running or queued at the target. */
  readonly requestsThere: number;
  /** Set when the target is due for a request after an idle time. */
  readonly due: DueReason | undefined;
}

export type PickResult =
  | { readonly kind: 'picked'; readonly pick: Pick }
  | { readonly kind: 'no-target' }
  /** The rate limits of all targets are used up. */
  | { readonly kind: 'rate-limited' }
  /** All targets asked this daemon to back off; the first one may be used after this time. */
  | { readonly kind: 'backing-off'; readonly freeInMilliseconds: number }
  /** No target is expected to answer in time. */
  | { readonly kind: 'full'; readonly expectedMilliseconds: number };
