/** Model of one target on a simulated clock: slots, random work durations, gray failures. */
import { Readable } from 'node:stream';
import type { Clock, Random } from '@cactusrun/core';
import type { TargetResult } from '@cactusrun/requests';

/** The fault of a target; the empty object is a healthy target. */
export interface TargetFault {
  /** Fraction of the requests that are never answered. */
  readonly stallRate?: number;
  readonly slowFactor?: number;
  readonly errorRate?: number;
  /** Caller zones whose requests are never answered. */
  readonly stalledZones?: readonly string[];
  readonly isDown?: boolean;
}

export interface ModelTargetOptions {
  readonly slots: number;
  readonly workMilliseconds: number;
  readonly clock: Clock;
  readonly random: Random;
}

/** Healthy targets, too, fail some requests and answer some slowly. */
const BACKGROUND_ERROR_RATE = 0.003;
const BACKGROUND_SLOW_RATE = 0.01;
const BACKGROUND_SLOW_FACTOR = 8;
const ERROR_STATUS = 500;
const OK_STATUS = 200;

export default class ModelTarget {
  private currentFault: TargetFault = {};

  public requests = 0;

  public requestsOverLimit = 0;

  private running = 0;

  private readonly crashCallbacks = new Set<() => void>();

  constructor(private readonly options: ModelTargetOptions) {}

  public get fault(): TargetFault {
    return this.currentFault;
  }

  public setFault(fault: TargetFault): void {
    this.currentFault = fault;
  }

  /** Breaks all running requests; connections fail until another fault is set. */
  public crash(): void {
    this.currentFault = { isDown: true };
    [...this.crashCallbacks].forEach((onCrash) => onCrash());
  }

  public run(callerZone: string, signal: AbortSignal): Promise<TargetResult> {
    const { clock, slots } = this.options;
    if (this.fault.isDown) return Promise.resolve({ kind: 'connect-failed', detail: 'down' });
    this.requests += 1;
    if (this.running >= slots) {
      this.requestsOverLimit += 1;
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
      const onCrash = () => finish({ kind: 'broken', detail: 'crashed' });
      const cancel = clock.after(this.drawDuration(callerZone), () => finish(this.createAnswer()));
      this.crashCallbacks.add(onCrash);
      ended.signal.addEventListener('abort', () => {
        this.crashCallbacks.delete(onCrash);
        cancel();
      });
      signal.addEventListener('abort', () => finish({ kind: 'timeout', detail: 'aborted' }), {
        once: true,
        signal: ended.signal,
      });
    });
  }

  private drawDuration(callerZone: string): number {
    const { stalledZones = [], stallRate = 0 } = this.fault;
    const isStalled = stalledZones.includes(callerZone) || this.options.random.unit() < stallRate;
    return isStalled ? Number.POSITIVE_INFINITY : this.drawWorkDuration();
  }

  private drawWorkDuration(): number {
    const { random, workMilliseconds } = this.options;
    const isSlow = random.unit() < BACKGROUND_SLOW_RATE;
    const factor = (this.fault.slowFactor ?? 1) * (isSlow ? BACKGROUND_SLOW_FACTOR : 1);
    return workMilliseconds * factor * (0.4 + random.exponential(0.6));
  }

  private createAnswer(): TargetResult {
    const errorRate = Math.max(BACKGROUND_ERROR_RATE, this.fault.errorRate ?? 0);
    const isError = this.options.random.unit() < errorRate;
    const body = new Readable({
      read() {
        this.push(null);
      },
    });
    return { kind: 'answered', status: isError ? ERROR_STATUS : OK_STATUS, headers: [], body };
  }
}
