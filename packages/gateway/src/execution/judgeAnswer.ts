/** Decides what a target's answer means for its request. */
import type { TargetAnswer } from '../connections/TargetAttempt.js';

export const SERVER_ERROR_STATUS = 500;
const REDIRECT_STATUS = 300;

/**
 * `final` goes to the caller; `error` is a server error of the target; `not-genuine` lacks the
 * signature of a success.
 */
export type AnswerVerdict = 'final' | 'error' | 'not-genuine';

export function judgeAnswer({ status, isSigned }: TargetAnswer): AnswerVerdict {
  if (status >= SERVER_ERROR_STATUS) return 'error';
  return !isSigned && status < REDIRECT_STATUS ? 'not-genuine' : 'final';
}
