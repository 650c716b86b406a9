/** The step that failed, and the peer that it involved, if any. */
export interface ErrorContext {
  readonly step: string;
  readonly peer?: string;
}

/** Base class of the errors that packages export; carries the failed step and the peer. */
export class CactusrunError extends Error {
  public override readonly name: string = 'CactusrunError';

  public readonly step: string;

  public readonly peer: string | undefined;

  constructor(message: string, context: ErrorContext, cause?: unknown) {
    const origin = context.peer === undefined ? context.step : `${context.step}, ${context.peer}`;
    super(`${message} (${origin})`, cause === undefined ? undefined : { cause });
    this.step = context.step;
    this.peer = context.peer;
  }
}

/** The message of any thrown value. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
