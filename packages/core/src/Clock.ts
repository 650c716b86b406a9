/**
 * Time as the rest of the program sees it. Decisions use the monotonic reading only; the wall
 * reading is for people and for comparison with timestamps of the platform.
 */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary origin. */
  now(): number;
  /** Milliseconds since the epoch. */
  wallNow(): number;
  /** Resolves after the duration, or at once when the signal is aborted. Never rejects. */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
  /** Calls back once after the duration; returns a function that cancels. */
  after(milliseconds: number, callback: () => void): () => void;
}

function systemAfter(milliseconds: number, callback: () => void): () => void {
  const timer = setTimeout(callback, milliseconds);
  return () => clearTimeout(timer);
}

/** Sleeping, built on a way to call back later. */
export function sleepOn(
  after: Clock['after'],
  milliseconds: number,
  signal?: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    let cancel = () => {};
    const finish = () => {
      cancel();
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    cancel = after(milliseconds, finish);
    signal?.addEventListener('abort', finish, { once: true });
  });
}

/** The machine's clock. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  sleep: (milliseconds, signal) => sleepOn(systemAfter, milliseconds, signal),
  after: systemAfter,
};
