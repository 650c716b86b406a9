import { systemClock } from '@cactusrun/core';

const TURNS = 10;
const TURN_MILLISECONDS = 4;

/**
 * Lets connections within this process deliver what was written, and gives what must not happen time
 * to happen. It is counted in turns of the event loop, as a busy machine may grant a single one in all
 * of that time.
 */
export default async function settleConnections(): Promise<void> {
  await Array.from({ length: TURNS }).reduce<Promise<void>>(
    (before) => before.then(() => systemClock.sleep(TURN_MILLISECONDS)),
    Promise.resolve(),
  );
}
