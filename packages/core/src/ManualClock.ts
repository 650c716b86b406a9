/** A clock for tests and experiments; its time changes only through `advance` and `pause`. */
import type { Clock } from './Clock.js';
import { sleepWith } from './Clock.js';
import TimerHeap from './TimerHeap.js';

const WALL_ORIGIN_MILLISECONDS = 1_700_000_000_000;

export default class ManualClock implements Clock {
  private time = 0;

  private order = 0;

  private readonly heap = new TimerHeap();

  public now(): number {
    return this.time;
  }

  public wallNow(): number {
    return WALL_ORIGIN_MILLISECONDS + this.time;
  }

  public sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return sleepWith((duration, callback) => this.after(duration, callback), milliseconds, signal);
  }

  public after(milliseconds: number, callback: () => void): () => void {
    this.order += 1;
    const due = this.time + Math.max(0, milliseconds);
    const timer = { due, order: this.order, callback, isLive: true };
    this.heap.push(timer);
    return () => {
      timer.isLive = false;
    };
  }

  /** Advances the time, runs each timer when it is due and lets promises settle in between. */
  public async advance(milliseconds: number): Promise<void> {
    const end = this.time + milliseconds;
    await settle();
    let timer = this.heap.peek();
    while (timer !== undefined && timer.due <= end) {
      this.heap.pop();
      if (timer.isLive) {
        this.time = Math.max(this.time, timer.due);
        timer.callback();
        // Each timer must see the effects of the previous one.
        // eslint-disable-next-line no-await-in-loop
        await settle();
      }
      timer = this.heap.peek();
    }
    this.time = end;
  }

  /** Advances the time without running timers, as for a process that was suspended and resumed. */
  public pause(milliseconds: number): void {
    this.time += milliseconds;
  }
}

/** Waits until all pending promise callbacks have run. */
async function settle(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}
