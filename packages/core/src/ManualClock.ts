/** A clock for tests and experiments: time moves only when it is told to. */
import type { Clock } from './Clock.js';
import { sleepOn } from './Clock.js';
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
    return sleepOn((duration, callback) => this.after(duration, callback), milliseconds, signal);
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

  /** Moves time on, running each timer at its moment and letting promises settle between them. */
  public async advance(milliseconds: number): Promise<void> {
    const end = this.time + milliseconds;
    await settle();
    let timer = this.heap.peek();
    while (timer !== undefined && timer.due <= end) {
      this.heap.pop();
      if (timer.isLive) {
        this.time = Math.max(this.time, timer.due);
        timer.callback();
        // Each timer must see the effects of the one before it.
        // eslint-disable-next-line no-await-in-loop
        await settle();
      }
      timer = this.heap.peek();
    }
    this.time = end;
  }

  /** Time passes, yet no timer runs: what a process sees that was stopped and then continued. */
  public pause(milliseconds: number): void {
    this.time += milliseconds;
  }
}

/** Lets every promise that can settle do so. */
async function settle(): Promise<void> {
  await new Promise<void>((resolve) => {
    setImmediate(resolve);
  });
}
