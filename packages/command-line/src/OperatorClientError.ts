import { CactusrunError } from '@cactusrun/core';

/** A daemon that cannot be reached, or that did not understand. */
export default class OperatorClientError extends CactusrunError {
  public override readonly name = 'OperatorClientError';
}
