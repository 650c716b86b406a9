import { CactusrunError } from '@cactusrun/core';

/** The daemon could not be reached, or rejected the request as malformed. */
export default class OperatorClientError extends CactusrunError {
  public override readonly name = 'OperatorClientError';
}
