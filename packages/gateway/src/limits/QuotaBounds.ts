/** The tolerance within which quotas hold while daemons cannot know each other's use exactly. */
import type { RequestQuota } from '../workspaces/Workspace.js';

export interface QuotaBounds {
  /** Length of the sliding window in which a quota is counted. */
  readonly windowMilliseconds: number;
  /** Tolerated excess, as a fraction of what the quota allows in a window. */
  readonly excess: number;
  /** Tolerated requests per window in addition. */
  readonly slack: number;
}

export const DEFAULT_QUOTA_BOUNDS: QuotaBounds = {
  windowMilliseconds: 5_000,
  excess: 0.1,
  slack: 20,
};

const MILLISECONDS_PER_SECOND = 1_000;

/** Requests per window beyond the quota that all daemons together may send. */
export function toleratedExcess(
  { windowMilliseconds, excess, slack }: QuotaBounds,
  { requestsPerSecond, burst }: RequestQuota,
): number {
  const allowed = (requestsPerSecond * windowMilliseconds) / MILLISECONDS_PER_SECOND + burst;
  return allowed * excess + slack;
}
