/** Where an error arose: the step of the work, and the peer at the other end if there is one. */
export interface ErrorPlace {
  readonly step: string;
  readonly peer?: string;
}

/** Base of the errors that cross a package's face: each carries the step and the peer. */
export class CactusrunError extends Error {
  public override readonly name: string = 'CactusrunError';

  public readonly step: string;

  public readonly peer: string | undefined;

  constructor(message: string, place: ErrorPlace, cause?: unknown) {
    const at = place.peer === undefined ? place.step : `${place.step}, ${place.peer}`;
    super(`${message} (${at})`, cause === undefined ? undefined : { cause });
    this.step = place.step;
    this.peer = place.peer;
  }
}

/** The message of anything that was thrown. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
