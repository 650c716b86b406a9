/**
 * Reads the reports of the targets that this daemon keeps. A report that says that the target
 * drains is believed; its load is shown to operators and decides nothing, for it lags and misleads.
 */
import type { Clock, Counters, Random, Stop, Target } from '@cactusrun/core';
import { repeatUntilAborted, startTask } from '@cactusrun/core';
import { request } from 'undici';
import { z } from 'zod';

const PERIOD_MILLISECONDS = 2_000;
const LIMIT_MILLISECONDS = 1_000;
const PROBE_PATH = '/.health';

const ReportSchema = z.object({ load: z.number(), isDraining: z.boolean() });

/** What a target said of itself. */
export type TargetStatement = z.infer<typeof ReportSchema>;

export interface TargetProberOptions {
  /** The targets kept here now. */
  readonly targets: () => readonly Target[];
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  /** Monotonic time at which the target at the address last answered a request of real work. */
  readonly lastAnswerAt: (address: string) => number;
}

export default class TargetProber {
  private statements = new Map<string, TargetStatement>();

  constructor(private readonly options: TargetProberOptions) {}

  /** Reads reports until the returned function is called. */
  public start(): Stop {
    const { clock, random, counters } = this.options;
    return startTask(
      (signal) =>
        repeatUntilAborted(signal, async () => {
          await this.readAll();
          await clock.sleep(PERIOD_MILLISECONDS * (0.75 + random.unit() / 2), signal);
        }),
      () => counters.add('probes', 'task-failed'),
    );
  }

  /** What the target at that address last said. */
  public statementOf(address: string): TargetStatement | undefined {
    return this.statements.get(address);
  }

  /** A request showed that the target drains; the next report may say otherwise. */
  public noteDraining(address: string): void {
    const load = this.statements.get(address)?.load ?? 0;
    this.statements.set(address, { load, isDraining: true });
  }

  private async readAll(): Promise<void> {
    const targets = this.options.targets();
    const addresses = new Set(targets.map((target) => target.address));
    this.statements.forEach((_, address) => {
      if (!addresses.has(address)) this.statements.delete(address);
    });
    const due = [...addresses].filter((address) => this.isDue(address));
    this.options.counters.add('probes', 'spared', addresses.size - due.length);
    await Promise.all(due.map((address) => this.readOne(address)));
  }

  /** A target that works shows by its answers whether it drains; one that drains is asked. */
  private isDue(address: string): boolean {
    const { clock, lastAnswerAt } = this.options;
    const isQuiet = clock.now() - lastAnswerAt(address) >= PERIOD_MILLISECONDS;
    return isQuiet || this.statements.get(address)?.isDraining === true;
  }

  private async readOne(address: string): Promise<void> {
    const { counters } = this.options;
    try {
      const { body } = await request(`http://${address}${PROBE_PATH}`, {
        signal: AbortSignal.timeout(LIMIT_MILLISECONDS),
      });
      const statement = ReportSchema.safeParse(await body.json());
      counters.add('probes', statement.success ? 'read' : 'unreadable');
      if (statement.success) this.statements.set(address, statement.data);
    } catch {
      counters.add('probes', 'failed');
    }
  }
}
