/** Refusals that the gateway itself sends to a caller instead of a target's answer. */

export type RefusalReason =
  | 'no-configuration'
  | 'no-route'
  | 'unknown-key'
  | 'over-quota'
  | 'stale-keys'
  | 'no-target'
  | 'overloaded'
  | 'rate-limited'
  | 'backing-off'
  | 'unreachable'
  | 'refused-by-targets'
  | 'held-back'
  | 'too-late'
  | 'stopping'
  | 'connection-broke'
  | 'timeout'
  | 'unsigned-answer'
  | 'internal-error'
  | 'stopped'
  | 'body-too-large'
  | 'headers-too-large'
  | 'memory-full'
  | 'malformed';

export interface RefusalRule {
  readonly status: number;
  /** Whether the request certainly was not executed, so that the caller may retry it. */
  readonly isNotRun: boolean;
  /** Mean time after which the caller should retry; 0 to state none. */
  readonly retryAfterMilliseconds: number;
  /** Callers return spread over this time after a moment that is known; 0 where that moment differs
   * between callers already.
   */
  readonly returnSpreadMilliseconds?: number;
  readonly meaning: string;
}

export const REFUSAL_RULES: Readonly<Record<RefusalReason, RefusalRule>> = {
  'no-configuration': {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 300,
    meaning: 'this daemon has no configuration or no registry yet',
  },
  'no-route': {
    status: 404,
    isNotRun: true,
    retryAfterMilliseconds: 0,
    meaning: 'no route in force matches the request',
  },
  'unknown-key': {
    status: 401,
    isNotRun: true,
    retryAfterMilliseconds: 0,
    meaning: 'no workspace in force holds the key of the request',
  },
  'stale-keys': {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 400,
    meaning: 'this daemon has not heard for too long whether keys were revoked',
  },
  'over-quota': {
    status: 429,
    isNotRun: true,
    retryAfterMilliseconds: 1_000,
    meaning: 'the workspace has used up its quota',
  },
  'no-target': {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 700,
    meaning: 'no target of the service may receive work',
  },
  overloaded: {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 500,
    returnSpreadMilliseconds: 0,
    meaning: 'no target would answer in time',
  },
  'rate-limited': {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 500,
    meaning: 'the rate limits of the targets leave no room',
  },
  'backing-off': {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 1_000,
    meaning: 'all targets asked this daemon to back off',
  },
  unreachable: {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 400,
    meaning: 'no connection to a target came about',
  },
  'refused-by-targets': {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 400,
    meaning: 'targets refused the request without running it',
  },
  'held-back': {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 0,
    meaning: 'targets that ran this request broke off',
  },
  'too-late': {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 0,
    meaning: 'the time for the request was over before it could be sent',
  },
  stopping: {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 200,
    meaning: 'this daemon is stopping and passes nothing on any more',
  },
  'connection-broke': {
    status: 502,
    isNotRun: false,
    retryAfterMilliseconds: 0,
    meaning: 'the connection to the target broke after the request was sent; it may have run',
  },
  timeout: {
    status: 504,
    isNotRun: false,
    retryAfterMilliseconds: 0,
    meaning: 'the target did not answer in time; it may have run',
  },
  'unsigned-answer': {
    status: 502,
    isNotRun: false,
    retryAfterMilliseconds: 0,
    meaning: 'the answer was not a genuine answer of the target; it may have run',
  },
  stopped: {
    status: 502,
    isNotRun: false,
    retryAfterMilliseconds: 0,
    meaning: 'this daemon stopped before the target had answered; the request may have run',
  },
  'internal-error': {
    status: 502,
    isNotRun: false,
    retryAfterMilliseconds: 0,
    meaning: 'the handling of the request failed in this daemon; it may have run',
  },
  'body-too-large': {
    status: 413,
    isNotRun: true,
    retryAfterMilliseconds: 0,
    meaning: 'the body is over the limit in force',
  },
  'headers-too-large': {
    status: 431,
    isNotRun: true,
    retryAfterMilliseconds: 0,
    meaning: 'the header fields are over the limit in force',
  },
  'memory-full': {
    status: 503,
    isNotRun: true,
    retryAfterMilliseconds: 1_000,
    meaning: 'this daemon has no memory left for the body of the request',
  },
  malformed: {
    status: 400,
    isNotRun: true,
    retryAfterMilliseconds: 0,
    meaning: 'the request is not well-formed',
  },
};
