/** A scheduled callback; `order` decides between timers that are due at the same time. */
export interface Timer {
  readonly due: number;
  readonly order: number;
  readonly callback: () => void;
  /** False once cancelled; the clock skips the timer. */
  isLive: boolean;
}

/** A binary heap of timers, earliest first; those due at the same time keep their creation order. */
export default class TimerHeap {
  private readonly timers: Timer[] = [];

  public peek(): Timer | undefined {
    return this.timers[0];
  }

  public push(timer: Timer): void {
    this.timers.push(timer);
    let index = this.timers.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  public pop(): Timer | undefined {
    const first = this.timers[0];
    const last = this.timers.pop();
    if (first === undefined || last === undefined || first === last) return first;
    this.timers[0] = last;
    this.siftDown();
    return first;
  }

  private siftDown(): void {
    let index = 0;
    let earliest = this.earliestOf(index);
    while (earliest !== index) {
      this.swap(index, earliest);
      index = earliest;
      earliest = this.earliestOf(index);
    }
  }

  private earliestOf(index: number): number {
    return [2 * index + 1, 2 * index + 2]
      .filter((child) => child < this.timers.length)
      .reduce((best, child) => (this.isBefore(child, best) ? child : best), index);
  }

  private isBefore(left: number, right: number): boolean {
    const a = this.timers[left]!;
    const b = this.timers[right]!;
    return a.due < b.due || (a.due === b.due && a.order < b.order);
  }

  private swap(left: number, right: number): void {
    const kept = this.timers[left]!;
    this.timers[left] = this.timers[right]!;
    this.timers[right] = kept;
  }
}
