/**
 * Reads the status of the targets that this daemon keeps. A reported drain takes effect; the
 * reported load is only shown to operators, since it lags and can mislead.
 */
import type { Clock, Counters, Random, Stop, Target } from '@cactusrun/core';
import { repeatUntilAborted, startTask } from '@cactusrun/core';
import { request } from 'undici';
import { z } from 'zod';

const PROBE_PERIOD_MILLISECONDS = 2_000;
const PROBE_TIMEOUT_MILLISECONDS = 1_000;
const PROBE_PATH = '/.health';

const TargetStatusSchema = z.object({ load: z.number(), isDraining: z.boolean() });

/** Status that a target reports about itself. */
export type TargetStatus = z.infer<typeof TargetStatusSchema>;

export interface TargetProberOptions {
  /** The targets that this daemon keeps. */
  readonly targets: () => readonly Target[];
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  /** Monotonic time of the last answer from the target at the address, not counting probes. */
  readonly lastAnswerAt: (address: string) => number;
}

export default class TargetProber {
  private statuses = new Map<string, TargetStatus>();

  constructor(private readonly options: TargetProberOptions) {}

  /** Probes the targets until the returned function is called. */
  public start(): Stop {
    const { clock, random, counters } = this.options;
    return startTask(
      (signal) =>
        repeatUntilAborted(signal, async () => {
          await this.probeAll();
          await clock.sleep(PROBE_PERIOD_MILLISECONDS * (0.75 + random.unit() / 2), signal);
        }),
      () => counters.add('probes', 'task-failed'),
    );
  }

  /** The last status of the target at the address. */
  public statusOf(address: string): TargetStatus | undefined {
    return this.statuses.get(address);
  }

  /** Records a drain that the answer to a request showed; the next status may revoke it. */
  public recordDraining(address: string): void {
    const load = this.statuses.get(address)?.load ?? 0;
    this.statuses.set(address, { load, isDraining: true });
  }

  private async probeAll(): Promise<void> {
    const targets = this.options.targets();
    const addresses = new Set(targets.map((target) => target.address));
    this.statuses.forEach((_, address) => {
      if (!addresses.has(address)) this.statuses.delete(address);
    });
    const due = [...addresses].filter((address) => this.isDue(address));
    this.options.counters.add('probes', 'spared', addresses.size - due.length);
    await Promise.all(due.map((address) => this.probeOne(address)));
  }

  /** Answers to requests show whether a target drains; only idle or draining ones need a probe. */
  private isDue(address: string): boolean {
    const { clock, lastAnswerAt } = this.options;
    const isIdle = clock.now() - lastAnswerAt(address) >= PROBE_PERIOD_MILLISECONDS;
    return isIdle || this.statuses.get(address)?.isDraining === true;
  }

  private async probeOne(address: string): Promise<void> {
    const { counters } = this.options;
    try {
      const { body } = await request(`http://${address}${PROBE_PATH}`, {
        signal: AbortSignal.timeout(PROBE_TIMEOUT_MILLISECONDS),
      });
      const status = TargetStatusSchema.safeParse(await body.json());
      counters.add('probes', status.success ? 'read' : 'unreadable');
      if (status.success) this.statuses.set(address, status.data);
    } catch {
      counters.add('probes', 'failed');
    }
  }
}
