/** Targets in memory that count the requests they run and have injectable faults. */
import { Readable } from 'node:stream';
import type { Clock, ConnectionAge, Target } from '@cactusrun/core';
import type { Attempt, TargetConnector, TargetResult } from '@cactusrun/requests';
import { headerOf } from '../../headers.js';

export type TargetFault =
  | 'healthy'
  | 'stalls'
  | 'breaks-while-running'
  | 'breaks-before-running'
  | 'refuses-connections'
  | 'sheds'
  | 'drains'
  | 'cuts-answers'
  | 'crashes-on-text';

export const IDENTITY = 'x-request-identity';
export const CRASH_TEXT = 'crash-me';
const WORK_MILLISECONDS = 20;
const ABORTED: TargetResult = { kind: 'timeout', detail: 'aborted' };

type Behaviour = (
  run: () => void,
  attempt: Attempt,
  signal: AbortSignal,
) => Promise<TargetResult> | TargetResult;

function answerOf(attempt: Attempt): TargetResult {
  const text = `${headerOf(attempt.headers, IDENTITY)} ${attempt.body.head.toString()}`;
  return { kind: 'answered', status: 200, headers: [], body: Readable.from([Buffer.from(text)]) };
}

export default class FakeTargets implements TargetConnector {
  /** Identities of the requests that ran, in order. */
  public readonly runs: string[] = [];

  public peak = 0;

  private readonly faults = new Map<string, TargetFault>();

  private readonly running = new Map<string, number>();

  private readonly behaviours: Readonly<Record<TargetFault, Behaviour>>;

  constructor(private readonly clock: Clock) {
    const work = async (run: () => void, attempt: Attempt, signal: AbortSignal) => {
      run();
      await clock.sleep(WORK_MILLISECONDS, signal);
      return signal.aborted ? ABORTED : answerOf(attempt);
    };
    this.behaviours = {
      healthy: work,
      stalls: async (run, _, signal) => {
        run();
        await clock.sleep(Number.POSITIVE_INFINITY, signal);
        return ABORTED;
      },
      'breaks-while-running': async (run) => {
        run();
        await clock.sleep(WORK_MILLISECONDS / 2);
        return { kind: 'broken', detail: 'reset' };
      },
      'breaks-before-running': () => ({ kind: 'broken', detail: 'reset' }),
      'refuses-connections': () => ({ kind: 'connect-failed', detail: 'refused' }),
      sheds: () => ({ kind: 'shed', isLeaving: false }),
      drains: () => ({ kind: 'shed', isLeaving: true }),
      'cuts-answers': (run, attempt) => {
        run();
        const body = new Readable({
          read() {
            this.push('half of ');
            this.destroy(new Error('cut'));
          },
        });
        return { ...answerOf(attempt), body } as TargetResult;
      },
      'crashes-on-text': (run, attempt, signal) => {
        if (!attempt.body.head.toString().includes(CRASH_TEXT)) return work(run, attempt, signal);
        run();
        return { kind: 'broken', detail: 'crashed' };
      },
    };
  }

  public setFault(fault: TargetFault, names?: readonly string[]): void {
    if (names === undefined) this.faults.clear();
    (names ?? ['*']).forEach((name) => this.faults.set(name, fault));
  }

  public countRuns(identity: string): number {
    return this.runs.filter((run) => run === identity).length;
  }

  public async send(
    target: Target,
    attempt: Attempt,
    signal: AbortSignal,
    onSent: (connection: ConnectionAge) => void,
  ): Promise<TargetResult> {
    onSent('new');
    const fault = this.faults.get(target.name) ?? this.faults.get('*') ?? 'healthy';
    const count = (this.running.get(target.name) ?? 0) + 1;
    this.running.set(target.name, count);
    this.peak = Math.max(this.peak, count);
    const run = () => this.runs.push(headerOf(attempt.headers, IDENTITY) ?? '');
    const result = await this.behaviours[fault](run, attempt, signal);
    this.running.set(target.name, (this.running.get(target.name) ?? 1) - 1);
    return result;
  }
}
