/**
 * Source of time. Decisions use only the monotonic clock; the wall clock is for people and for
 * comparison with the platform's timestamps.
 */
export interface Clock {
  /** Monotonic milliseconds since an arbitrary origin. */
  now(): number;
  /** Milliseconds since the epoch. */
  wallNow(): number;
  /** Resolves after the duration, or at once when the signal is aborted. Never rejects. */
  sleep(milliseconds: number, signal?: AbortSignal): Promise<void>;
  /** Calls the callback once after the duration; returns a function that cancels it. */
  after(milliseconds: number, callback: () => void): () => void;
}

function systemAfter(milliseconds: number, callback: () => void): () => void {
  const timer = setTimeout(callback, milliseconds);
  return () => clearTimeout(timer);
}

/** Implements `Clock.sleep` on top of `Clock.after`. */
export function sleepWith(
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

export const systemClock: Clock = {
  now: () => performance.now(),
  wallNow: () => Date.now(),
  sleep: (milliseconds, signal) => sleepWith(systemAfter, milliseconds, signal),
  after: systemAfter,
};
