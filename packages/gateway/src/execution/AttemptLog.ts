/** Logs why a request was not placed, and each attempt of it that failed. */
import type { Clock, Counters, Logger } from '@cactusrun/core';
import type { AttemptResult } from '../connections/TargetAttempt.js';
import type { Pick, PickResult } from '../placement/TargetPick.js';
import type { RunningAttempt } from './RunningAttempt.js';

export interface AttemptLogParts {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class AttemptLog {
  constructor(
    private readonly parts: AttemptLogParts,
    /** The attempt id that the caller set. */
    private readonly request: string,
    private readonly service: string,
  ) {}

  /**
   * Records that no target was picked.
   *
   * @param remaining - milliseconds until the deadline
   * @param targetsExcluded - targets that were tried before
   */
  public recordUnplaced(
    picked: Exclude<PickResult, { kind: 'picked' }>,
    remaining: number,
    targetsExcluded: number,
  ): void {
    this.parts.logger.info('request-unplaced', {
      request: this.request,
      service: this.service,
      outcome: picked.kind,
      remainingMilliseconds: Math.round(remaining),
      expectedMilliseconds:
        'expectedMilliseconds' in picked ? Math.round(picked.expectedMilliseconds) : undefined,
      targetsExcluded,
    });
  }

  /** Records that a slow request goes to a second target, so long after it went to the first one. */
  public recordHedge({ target, expectedMilliseconds }: Pick, afterMilliseconds: number): void {
    this.parts.logger.info('request-hedged', {
      request: this.request,
      target: target.entry.id,
      service: this.service,
      afterMilliseconds: Math.round(afterMilliseconds),
      expectedMilliseconds: Math.round(expectedMilliseconds),
    });
  }

  /** Records an attempt that failed, with what was believed of its target. */
  public recordFailure(attempt: RunningAttempt, result: AttemptResult): void {
    const { clock, counters, logger } = this.parts;
    const { target, failureProbability, requestsThere, expectedMilliseconds, due } = attempt.pick;
    counters.add('call_failures', result.kind);
    logger.info('call-failed', {
      request: this.request,
      target: target.entry.id,
      service: this.service,
      result: result.kind,
      detail: 'detail' in result ? result.detail : undefined,
      status: result.kind === 'answered' ? result.answer.status : undefined,
      failureProbability: Math.round(failureProbability * 100) / 100,
      requestsThere: Math.round(requestsThere),
      expectedMilliseconds: Math.round(expectedMilliseconds),
      due,
      targetSeenMilliseconds: Math.round(clock.now() - target.healthEstimate.lastObservedAt),
    });
  }
}
