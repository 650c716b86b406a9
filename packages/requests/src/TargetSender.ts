/** Sends a granted request to its target, watches it, and hedges one that is late. */
import { finished } from 'node:stream';
import type { Clock, Counters, Observation, Target, TargetHealth } from '@cactusrun/core';
import type { Answered, Attempt } from './Attempt.js';
import type CrashWatch from './CrashWatch.js';
import type { TargetConnector, TargetResult } from './TargetConnector.js';
import type TargetSlots from './TargetSlots.js';

/** A slot held for one request. */
export interface Grant {
  readonly slots: TargetSlots;
  readonly release: () => void;
}

export type Failure = Exclude<TargetResult, { kind: 'answered' }>;
export type SendResult = Answered | Failure;

export interface TargetSenderOptions {
  readonly clock: Clock;
  readonly connector: TargetConnector;
  readonly health: TargetHealth;
  readonly crashes: CrashWatch;
  readonly counters: Counters;
  /** Told of each slot that was held, and for how long. */
  readonly onHeld: (milliseconds: number) => void;
  /** Told of a target that showed that it leaves. */
  readonly onLeaving: (target: string) => void;
}

interface Run {
  readonly result: Promise<SendResult>;
  readonly supersede: () => void;
}

/** Reason given to the abort signal of a request that another answer made needless. */
const SUPERSEDED = 'superseded';
const FIRST_ERROR_STATUS = 500;

export default class TargetSender {
  constructor(private readonly options: TargetSenderOptions) {}

  /**
   * Sends the request; when it is late and may be repeated, to a second target as well.
   *
   * @param takeHedge - grants a slot at a second target, if the budget and the slots allow it
   */
  public async sendHedged(
    attempt: Attempt,
    grant: Grant,
    takeHedge: () => Grant | undefined,
  ): Promise<SendResult> {
    const first = this.start(attempt, grant);
    const canHedge = attempt.requestClass === 'idempotent' && attempt.body.isWhole;
    if (!canHedge || !(await this.isLate(first))) return first.result;
    const second = takeHedge();
    if (second === undefined) return first.result;
    this.options.counters.add('retries', 'hedge');
    return TargetSender.firstAnswer([first, this.start(attempt, second)]);
  }

  private isLate(run: Run): Promise<boolean> {
    const { clock, health } = this.options;
    return new Promise((resolve) => {
      const cancel = clock.after(health.lateAfterMilliseconds(), () => resolve(true));
      run.result.then(() => {
        cancel();
        resolve(false);
      });
    });
  }

  /** The first answer; the other request is cancelled. A failure counts if both fail. */
  private static firstAnswer(runs: readonly Run[]): Promise<SendResult> {
    return new Promise((resolve) => {
      let isDecided = false;
      let failures = 0;
      const decide = (run: Run, result: SendResult) => {
        if (isDecided) {
          if (result.kind === 'answered') result.body.destroy();
          return;
        }
        failures += result.kind === 'answered' ? 0 : 1;
        if (result.kind !== 'answered' && failures < runs.length) return;
        isDecided = true;
        runs.filter((other) => other !== run).forEach((other) => other.supersede());
        resolve(result);
      };
      runs.forEach((run) => {
        run.result.then((result) => decide(run, result));
      });
    });
  }

  private start(attempt: Attempt, grant: Grant): Run {
    const controller = new AbortController();
    return {
      result: this.send(attempt, grant, controller),
      supersede: () => controller.abort(SUPERSEDED),
    };
  }

  private async send(
    attempt: Attempt,
    grant: Grant,
    controller: AbortController,
  ): Promise<SendResult> {
    const { clock, connector, health } = this.options;
    const { target } = grant.slots;
    const startedAt = clock.now();
    const observation = health.started(target.name, attempt.callerZone);
    const onAbort = () => controller.abort();
    attempt.signal.addEventListener('abort', onAbort, { once: true });
    if (attempt.signal.aborted) controller.abort();
    const cancelLimit = clock.after(attempt.deadline - startedAt, onAbort);
    const cleanUp = () => {
      cancelLimit();
      attempt.signal.removeEventListener('abort', onAbort);
      this.options.onHeld(clock.now() - startedAt);
      grant.release();
    };
    const result = await connector.send(target, attempt, controller.signal, observation.sentOn);
    if (result.kind !== 'answered') {
      const isCancelled = attempt.signal.aborted || controller.signal.reason === SUPERSEDED;
      this.observeFailure(attempt, target, observation, result, isCancelled);
      cleanUp();
      return result;
    }
    this.options.crashes.noteAnswer(attempt.fingerprint);
    observation.finish(result.status >= FIRST_ERROR_STATUS ? 'error-status' : 'answered');
    finished(result.body, cleanUp);
    return { ...result, target: target.name };
  }

  private observeFailure(
    attempt: Attempt,
    target: Target,
    observation: Observation,
    failure: Failure,
    isCancelled: boolean,
  ): void {
    this.options.counters.add('target_failures', isCancelled ? 'cancelled' : failure.kind);
    if (failure.kind === 'broken') this.options.crashes.noteCrash(attempt.fingerprint, target.name);
    if (failure.kind === 'shed' && failure.isLeaving) this.options.onLeaving(target.name);
    observation.finish(isCancelled ? 'cancelled' : failure.kind);
  }
}
