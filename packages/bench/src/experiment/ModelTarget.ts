/** A stand-in for one target on a faked clock: slots, work that takes time, gray failures. */
import { Readable } from 'node:stream';
import type { Clock, Random } from '@cactusrun/core';
import type { TargetResult } from '@cactusrun/requests';

/** What is wrong with a target; a healthy one has the empty fault. */
export interface TargetFault {
  /** Share of the requests that never end. */
  readonly stallRate?: number;
  readonly slowFactor?: number;
  readonly errorRate?: number;
  /** Zones whose requests never end. */
  readonly refusedZones?: readonly string[];
  readonly isDown?: boolean;
}

export interface ModelTargetOptions {
  readonly slots: number;
  readonly workMilliseconds: number;
  readonly clock: Clock;
  readonly random: Random;
}

/** Healthy targets are not perfect: some requests fail and some take long. */
const BACKGROUND_ERROR_RATE = 0.003;
const BACKGROUND_SLOW_RATE = 0.01;
const BACKGROUND_SLOW_FACTOR = 8;
const ERROR_STATUS = 500;
const OK_STATUS = 200;

export default class ModelTarget {
  private current: TargetFault = {};

  public requests = 0;

  public overLimit = 0;

  private running = 0;

  private readonly cuts = new Set<() => void>();

  constructor(private readonly options: ModelTargetOptions) {}

  public get fault(): TargetFault {
    return this.current;
  }

  public setFault(fault: TargetFault): void {
    this.current = fault;
  }

  /** The process breaks: every request is cut, and connections fail until another fault is set. */
  public crash(): void {
    this.current = { isDown: true };
    [...this.cuts].forEach((cut) => cut());
  }

  public run(callerZone: string, signal: AbortSignal): Promise<TargetResult> {
    const { clock, slots } = this.options;
    if (this.fault.isDown) return Promise.resolve({ kind: 'connect-failed', detail: 'down' });
    this.requests += 1;
    if (this.running >= slots) {
      this.overLimit += 1;
      return Promise.resolve({ kind: 'shed', isLeaving: false });
    }
    this.running += 1;
    return new Promise((resolve) => {
      const ended = new AbortController();
      const finish = (result: TargetResult) => {
        ended.abort();
        this.running -= 1;
        resolve(result);
      };
      const cut = () => finish({ kind: 'broken', detail: 'crashed' });
      const cancel = clock.after(this.timeOf(callerZone), () => finish(this.answer()));
      this.cuts.add(cut);
      ended.signal.addEventListener('abort', () => {
        this.cuts.delete(cut);
        cancel();
      });
      signal.addEventListener('abort', () => finish({ kind: 'timeout', detail: 'aborted' }), {
        once: true,
        signal: ended.signal,
      });
    });
  }

  private timeOf(callerZone: string): number {
    const { refusedZones = [], stallRate = 0 } = this.fault;
    const isStalled = refusedZones.includes(callerZone) || this.options.random.unit() < stallRate;
    return isStalled ? Number.POSITIVE_INFINITY : this.workTime();
  }

  private workTime(): number {
    const { random, workMilliseconds } = this.options;
    const isSlow = random.unit() < BACKGROUND_SLOW_RATE;
    const factor = (this.fault.slowFactor ?? 1) * (isSlow ? BACKGROUND_SLOW_FACTOR : 1);
    return workMilliseconds * factor * (0.4 + random.exponential(0.6));
  }

  private answer(): TargetResult {
    const rate = Math.max(BACKGROUND_ERROR_RATE, this.fault.errorRate ?? 0);
    const isError = this.options.random.unit() < rate;
    const body = new Readable({
      read() {
        this.push(null);
      },
    });
    return { kind: 'answered', status: isError ? ERROR_STATUS : OK_STATUS, headers: [], body };
  }
}
