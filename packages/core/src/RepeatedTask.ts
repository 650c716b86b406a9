/** A task that runs one step again and again, and outlives the failure of a step. */
import { describeError } from './CactusrunError.js';
import type { Clock } from './Clock.js';
import type { Logger } from './Logger.js';
import type { Stop } from './Task.js';
import { repeatUntilAborted, startTask } from './Task.js';

/** Pause after a step that failed, so that one which always fails costs little. */
export const FAILURE_PAUSE_MILLISECONDS = 1_000;

export interface RepeatedTask {
  /** Names the task in the log. */
  readonly name: string;
  /** Includes the pause until the next step. */
  readonly step: (signal: AbortSignal) => Promise<void>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Starts the task; the returned function stops it. A step that fails is logged. */
export function startRepeatedTask({ name, step, clock, logger }: RepeatedTask): Stop {
  const logFailure = (error: unknown) =>
    logger.warn('task-failed', { task: name, cause: describeError(error) });
  const attemptStep = async (signal: AbortSignal) => {
    try {
      await step(signal);
    } catch (error) {
      if (signal.aborted) return;
      logFailure(error);
      await clock.sleep(FAILURE_PAUSE_MILLISECONDS, signal);
    }
  };
  return startTask((signal) => repeatUntilAborted(signal, () => attemptStep(signal)), logFailure);
}
