/** What a target states of itself in an answer. */

/** The most requests per second that a target takes from the whole fleet. */
export type RequestRate = number | 'unlimited';

export interface TargetStatement {
  /** Requests that run or wait there, if it reports them. */
  readonly requests: number | undefined;
  /** Undefined when it cannot be read. */
  readonly rateLimit: RequestRate | undefined;
  /** Whether the target is about to shut down. */
  readonly isLeaving: boolean;
  /** Time for which this daemon is to send it no request, if it asks for that. */
  readonly backoffMilliseconds: number | undefined;
}

/** The statement of an answer that never came. */
export const NOTHING_STATED: TargetStatement = {
  requests: undefined,
  rateLimit: undefined,
  isLeaving: false,
  backoffMilliseconds: undefined,
};
