/** Sends a request to the target whose slot it was granted, and hedges a late one. */
import { finished } from 'node:stream';
import type { Clock, Counters, Observation, Target, TargetHealth } from '@cactusrun/core';
import type { Answered, Attempt } from './Attempt.js';
import type CrashTracker from './CrashTracker.js';
import type { TargetConnector, TargetResult } from './TargetConnector.js';
import type TargetSlots from './TargetSlots.js';

/** A slot that one request holds. */
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
  readonly crashes: CrashTracker;
  readonly counters: Counters;
  /** Called when a slot is released, with the time that it was held. */
  readonly onSlotReleased: (milliseconds: number) => void;
  /** Called when a target answers that it is leaving. */
  readonly onLeaving: (target: string) => void;
}

interface RunningAttempt {
  readonly result: Promise<SendResult>;
  readonly supersede: () => void;
}

/** Abort reason of an attempt after the other attempt of a hedged request was answered. */
const SUPERSEDED = 'superseded';
const FIRST_ERROR_STATUS = 500;

export default class TargetSender {
  constructor(private readonly options: TargetSenderOptions) {}

  /**
   * Sends the request. If it is late and idempotent, sends it to a second target as well.
   *
   * @param acquireHedge - acquires a slot at a second target, if the retry budget allows it
   */
  public async sendHedged(
    attempt: Attempt,
    grant: Grant,
    acquireHedge: () => Grant | undefined,
  ): Promise<SendResult> {
    const first = this.start(attempt, grant);
    const canHedge = attempt.requestClass === 'idempotent' && attempt.body.isWhole;
    if (!canHedge || !(await this.isLate(first))) return first.result;
    const second = acquireHedge();
    if (second === undefined) return first.result;
    this.options.counters.add('retries', 'hedge');
    return TargetSender.firstAnswer([first, this.start(attempt, second)]);
  }

  private isLate(run: RunningAttempt): Promise<boolean> {
    const { clock, health } = this.options;
    return new Promise((resolve) => {
      const cancel = clock.after(health.hedgeDelayMilliseconds(), () => resolve(true));
      run.result.then(() => {
        cancel();
        resolve(false);
      });
    });
  }

  /** Resolves to the first answer and cancels the other attempt; to a failure only if both fail. */
  private static firstAnswer(runs: readonly RunningAttempt[]): Promise<SendResult> {
    return new Promise((resolve) => {
      let isDecided = false;
      let failures = 0;
      const decide = (run: RunningAttempt, result: SendResult) => {
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

  private start(attempt: Attempt, grant: Grant): RunningAttempt {
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
    const observation = health.observeAttempt(target.name, attempt.callerZone);
    const onAbort = () => controller.abort();
    attempt.signal.addEventListener('abort', onAbort, { once: true });
    if (attempt.signal.aborted) controller.abort();
    const cancelDeadline = clock.after(attempt.deadline - startedAt, onAbort);
    const cleanUp = () => {
      cancelDeadline();
      attempt.signal.removeEventListener('abort', onAbort);
      this.options.onSlotReleased(clock.now() - startedAt);
      grant.release();
    };
    const result = await connector.send(target, attempt, controller.signal, observation.sentOn);
    if (result.kind !== 'answered') {
      const isCancelled = attempt.signal.aborted || controller.signal.reason === SUPERSEDED;
      this.recordFailure(attempt, target, observation, result, isCancelled);
      cleanUp();
      return result;
    }
    this.options.crashes.recordAnswer(attempt.fingerprint);
    observation.finish(result.status >= FIRST_ERROR_STATUS ? 'error-status' : 'answered');
    finished(result.body, cleanUp);
    return { ...result, target: target.name };
  }

  private recordFailure(
    attempt: Attempt,
    target: Target,
    observation: Observation,
    failure: Failure,
    isCancelled: boolean,
  ): void {
    this.options.counters.add('target_failures', isCancelled ? 'cancelled' : failure.kind);
    if (failure.kind === 'broken')
      this.options.crashes.recordCrash(attempt.fingerprint, target.name);
    if (failure.kind === 'shed' && failure.isLeaving) this.options.onLeaving(target.name);
    observation.finish(isCancelled ? 'cancelled' : failure.kind);
  }
}
