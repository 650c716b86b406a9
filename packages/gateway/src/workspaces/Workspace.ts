/** A workspace: a caller organisation, to which keys, a priority and a quota belong. */

/** How many requests a workspace may send through all daemons together. */
export interface RequestQuota {
  readonly requestsPerSecond: number;
  /** Requests beyond the rate that may come at once. */
  readonly burst: number;
}

export interface Workspace {
  readonly name: string;
  /** Takes precedence over the priority of the route, where set; 0 is the most urgent. */
  readonly priority: number | undefined;
  /** Undefined when the workspace has no limit. */
  readonly quota: RequestQuota | undefined;
}
