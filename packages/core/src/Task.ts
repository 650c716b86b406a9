/** Stops what a call started; idempotent. */
export type Stop = () => Promise<void>;

/**
 * Starts a task; its body runs until it returns or its signal is aborted.
 *
 * @param body - receives the signal that requests its end
 * @param onError - receives an error that the body throws, unless the signal was aborted before
 * @returns a function that aborts the signal and waits until the body has ended
 */
export function startTask(
  body: (signal: AbortSignal) => Promise<void>,
  onError: (error: unknown) => void,
): Stop {
  const controller = new AbortController();
  const ended = body(controller.signal).catch((error: unknown) => {
    if (!controller.signal.aborted) onError(error);
  });
  return async () => {
    controller.abort();
    await ended;
  };
}

/** Runs the step again and again until the signal is aborted. */
export async function repeatUntilAborted(
  signal: AbortSignal,
  step: () => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    // Runs of the step must not overlap.
    // eslint-disable-next-line no-await-in-loop
    await step();
  }
}

/** Runs the step for each item in order, one at a time. */
export async function inSequence<Item>(
  items: readonly Item[],
  step: (item: Item) => Promise<void>,
): Promise<void> {
  await items.reduce((before, item) => before.then(() => step(item)), Promise.resolve());
}

/** Merges several stop functions into one that runs them in reverse order. */
export function mergeStops(stops: readonly Stop[]): Stop {
  let ending: Promise<void> | undefined;
  return () => {
    ending ??= inSequence([...stops].reverse(), (stop) => stop());
    return ending;
  };
}
