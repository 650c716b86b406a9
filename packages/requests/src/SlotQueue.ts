/** Queues requests for a slot by priority, then by arrival; each is refused at its deadline. */
import type { Clock, OutcomeReason, Priority } from '@cactusrun/core';

const PRIORITIES: readonly Priority[] = ['high', 'normal', 'low'];

/** Acquires a slot; returns undefined if none is available for this request. */
export type TakeSlot<Slot> = () => Slot | undefined;

export interface Waiter<Slot> {
  readonly priority: Priority;
  /** Monotonic milliseconds. */
  readonly deadline: number;
  readonly signal: AbortSignal;
  readonly take: TakeSlot<Slot>;
}

export type QueueResult<Slot> =
  | { readonly kind: 'slot'; readonly slot: Slot }
  | { readonly kind: 'refused'; readonly reason: OutcomeReason };

interface QueueEntry<Slot> {
  readonly waiter: Waiter<Slot>;
  readonly finish: (result: QueueResult<Slot>) => void;
}

export default class SlotQueue<Slot> {
  private readonly queues: Readonly<Record<Priority, Set<QueueEntry<Slot>>>> = {
    high: new Set(),
    normal: new Set(),
    low: new Set(),
  };

  constructor(private readonly clock: Clock) {}

  public get length(): number {
    return PRIORITIES.reduce((sum, priority) => sum + this.queues[priority].size, 0);
  }

  /** Number of requests ahead of a new request of the given priority. */
  public aheadOf(priority: Priority): number {
    const last = PRIORITIES.indexOf(priority);
    return PRIORITIES.slice(0, last + 1).reduce((sum, higher) => sum + this.queues[higher].size, 0);
  }

  /** Waits for a slot until the deadline, or until the caller cancels. */
  public wait(waiter: Waiter<Slot>): Promise<QueueResult<Slot>> {
    return new Promise((resolve) => {
      const queue = this.queues[waiter.priority];
      let cleanUp = () => {};
      const entry: QueueEntry<Slot> = {
        waiter,
        finish: (result) => {
          queue.delete(entry);
          cleanUp();
          resolve(result);
        },
      };
      const onAbort = () => entry.finish({ kind: 'refused', reason: 'caller-cancelled' });
      const cancel = this.clock.after(waiter.deadline - this.clock.now(), () => {
        entry.finish({ kind: 'refused', reason: 'queue-deadline' });
      });
      cleanUp = () => {
        cancel();
        waiter.signal.removeEventListener('abort', onAbort);
      };
      waiter.signal.addEventListener('abort', onAbort, { once: true });
      queue.add(entry);
      if (waiter.signal.aborted) onAbort();
    });
  }

  /** Grants free slots in order of priority; to be called when a slot was released. */
  public serve(): void {
    PRIORITIES.forEach((priority) => {
      [...this.queues[priority]].every((entry) => serveOne(entry));
    });
  }

  /** Refuses all queued requests. */
  public refuseAll(reason: OutcomeReason): void {
    PRIORITIES.forEach((priority) => {
      [...this.queues[priority]].forEach((entry) => entry.finish({ kind: 'refused', reason }));
    });
  }
}

/** Tries to grant a slot; returns whether the next request of the priority should be tried. */
function serveOne<Slot>(entry: QueueEntry<Slot>): boolean {
  const slot = entry.waiter.take();
  if (slot === undefined) return false;
  entry.finish({ kind: 'slot', slot });
  return true;
}
