/** Ends what a call has started; calling it again does nothing. */
export type Stop = () => Promise<void>;

/**
 * Starts one task written straight down: the body runs until it returns or its signal is aborted.
 *
 * @param body - receives the signal that asks it to end
 * @param onError - receives what the body throws, except after the signal was aborted
 * @returns a function that asks the task to end and waits until it has
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

/** Repeats a step, one after another, until the signal is aborted. */
export async function repeatUntilAborted(
  signal: AbortSignal,
  step: () => Promise<void>,
): Promise<void> {
  while (!signal.aborted) {
    // The steps of one task follow each other: the next must not begin before this one has ended.
    // eslint-disable-next-line no-await-in-loop
    await step();
  }
}

/** Runs the steps one after another, in the order given. */
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
