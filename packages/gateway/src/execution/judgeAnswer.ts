/** Decides what a target's answer means for its request. */
import type { TargetAnswer } from '../connections/TargetAttempt.js';

export const SERVER_ERROR_STATUS = 500;
const REDIRECT_STATUS = 300;

/**
 * `final` goes to the caller; `error` is a server error of the target; `not-genuine` lacks the
 * signature of a success; `closing` would end the connection while later requests of the caller are
 * being executed, so that another target's answer is preferred, if there is one in time.
 */
export type AnswerVerdict = 'final' | 'error' | 'not-genuine' | 'closing';

/** @param isFollowed - whether later requests of the caller's connection would be cut off */
export function judgeAnswer(answer: TargetAnswer, isFollowed: boolean): AnswerVerdict {
  if (answer.status >= SERVER_ERROR_STATUS) return 'error';
  if (!answer.isSigned && answer.status < REDIRECT_STATUS) return 'not-genuine';
  const isWhole = answer.bodyRest === undefined;
  return !answer.isFramed && isWhole && isFollowed ? 'closing' : 'final';
}
