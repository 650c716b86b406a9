/** A document that cannot be taken as configuration, as its decoder reports it. */
import type { ErrorContext } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';

export default class ConfigurationRefusedError extends CactusrunError {
  public override readonly name = 'ConfigurationRefusedError';

  /**
   * @param message - the entries at fault and the reasons; never a key
   * @param version - the version that the document states; undefined when it cannot be read
   */
  constructor(
    message: string,
    public readonly version: number | undefined,
    context: ErrorContext,
  ) {
    super(message, context);
  }
}
