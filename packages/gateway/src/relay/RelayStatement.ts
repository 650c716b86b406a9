/** What a daemon that relays a request states of it to the peer that executes it. */
export interface RelayStatement {
  readonly attemptsMade: number;
  readonly configurationVersion: number;
  /** Whether the request is counted against the quota of its workspace; older builds do not. */
  readonly isQuotaCounted?: boolean;
  /** Whether the retry budget was raised for the request. */
  readonly isBudgetCounted?: boolean;
}
