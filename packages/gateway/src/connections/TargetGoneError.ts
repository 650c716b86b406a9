/**
 * The reason with which a request is cancelled because its target or peer is known to be gone, rather
 * than because nobody needs the answer any more: what has arrived whole is still delivered.
 */
import { CactusrunError } from '@cactusrun/core';

export default class TargetGoneError extends CactusrunError {
  public override readonly name = 'TargetGoneError';

  constructor(target: string) {
    super('the other side is gone', { step: 'waiting for an answer', peer: target });
  }
}
