/** Requests that wait for a slot: by priority, then by arrival; each leaves at its own deadline. */
import type { Clock, OutcomeReason, Priority } from '@cactusrun/core';

const PRIORITIES: readonly Priority[] = ['high', 'normal', 'low'];

/** Asks for a slot; undefined while there is none for this request. */
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

interface Entry<Slot> {
  readonly waiter: Waiter<Slot>;
  readonly finish: (result: QueueResult<Slot>) => void;
}

export default class SlotQueue<Slot> {
  private readonly lines: Readonly<Record<Priority, Set<Entry<Slot>>>> = {
    high: new Set(),
    normal: new Set(),
    low: new Set(),
  };

  constructor(private readonly clock: Clock) {}

  public get length(): number {
    return PRIORITIES.reduce((sum, priority) => sum + this.lines[priority].size, 0);
  }

  /** Requests that a newcomer of the priority would have before it. */
  public aheadOf(priority: Priority): number {
    const last = PRIORITIES.indexOf(priority);
    return PRIORITIES.slice(0, last + 1).reduce((sum, line) => sum + this.lines[line].size, 0);
  }

  /** Waits for a slot until the deadline or the caller's end. */
  public wait(waiter: Waiter<Slot>): Promise<QueueResult<Slot>> {
    return new Promise((resolve) => {
      const line = this.lines[waiter.priority];
      let cleanUp = () => {};
      const entry: Entry<Slot> = {
        waiter,
        finish: (result) => {
          line.delete(entry);
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
      line.add(entry);
      if (waiter.signal.aborted) onAbort();
    });
  }

  /** Gives free slots to those who wait, the most urgent first; call it when a slot came free. */
  public serve(): void {
    PRIORITIES.forEach((priority) => {
      [...this.lines[priority]].every((entry) => serveOne(entry));
    });
  }

  /** Refuses everybody who waits. */
  public refuseAll(reason: OutcomeReason): void {
    PRIORITIES.forEach((priority) => {
      [...this.lines[priority]].forEach((entry) => entry.finish({ kind: 'refused', reason }));
    });
  }
}

/** Whether it is worth asking for the next one: a slot was given. */
function serveOne<Slot>(entry: Entry<Slot>): boolean {
  const slot = entry.waiter.take();
  if (slot === undefined) return false;
  entry.finish({ kind: 'slot', slot });
  return true;
}
