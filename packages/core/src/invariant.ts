/** Thrown for a state that must never occur: a defect of the program, not of its input. */
export class InvariantError extends Error {
  public override readonly name = 'InvariantError';
}

/**
 * Asserts that an invariant holds.
 *
 * @param message - includes the values involved
 * @throws InvariantError when the condition does not hold
 */
export function invariant(condition: unknown, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}
