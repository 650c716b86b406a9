/** An intact answer of a target, for tests. */
import type { TargetAnswer } from '../../connections/TargetAttempt.js';
import { NOTHING_STATED } from '../../state/TargetStatement.js';

export default function createTargetAnswer(change: Partial<TargetAnswer> = {}): TargetAnswer {
  return {
    status: 200,
    fields: [],
    bodyStart: Buffer.from('x'),
    bodyRest: undefined,
    stated: NOTHING_STATED,
    isFramed: true,
    isSigned: true,
    ...change,
  };
}
