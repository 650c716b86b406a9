/** The rest of a large answer broke off, or was cut at the deadline, while it was passed on. */
import { CactusrunError } from '@cactusrun/core';

export default class AnswerCutError extends CactusrunError {
  public override readonly name = 'AnswerCutError';

  /** @param isTargetFailure - false when the caller disconnected or read too slowly */
  constructor(
    detail: string,
    target: string,
    public readonly isTargetFailure: boolean,
  ) {
    super(detail, { step: 'passing on an answer', peer: target });
  }
}
