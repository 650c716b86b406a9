/** Raised when a state that can never occur has occurred: a defect of the program, not of its input. */
export class InvariantError extends Error {
  public override readonly name = 'InvariantError';
}

/**
 * Asserts what always holds.
 *
 * @param condition - what must be true
 * @param message - names the values at hand
 * @throws InvariantError when the condition does not hold
 */
export function invariant(condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}
