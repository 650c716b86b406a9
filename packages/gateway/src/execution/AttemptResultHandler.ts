/** Decides what the result of an attempt means: an answer for the caller, a retry or a failure. */
import type { CrashTracker } from '@cactusrun/requests';
import type RequestAdmission from '../admission/RequestAdmission.js';
import type { AttemptResult, TargetAnswer } from '../connections/TargetAttempt.js';
import { lengthOf } from '../connections/TargetAttempt.js';
import type AnswerSizes from '../placement/AnswerSizes.js';
import type AttemptLog from './AttemptLog.js';
import type AttemptStarter from './AttemptStarter.js';
import type ConnectionFailures from './ConnectionFailures.js';
import type { ExecutionPlan } from './ExecutionPlan.js';
import { isIdempotent } from './ExecutionPlan.js';
import type { ExecutionStep } from './ExecutionStep.js';
import { CANCELLED, RETRY } from './ExecutionStep.js';
import type { AnswerVerdict } from './judgeAnswer.js';
import { judgeAnswer } from './judgeAnswer.js';
import type RequestEnding from './RequestEnding.js';
import type RequestRetries from './RequestRetries.js';
import type { RunningAttempt } from './RunningAttempt.js';
import { isSuccessful } from './RunningAttempt.js';

export interface AttemptResultParts {
  /** Learns the lengths of answers; if absent, they do not count in the choice of targets. */
  readonly answerSizes?: AnswerSizes;
  readonly requestAdmission: RequestAdmission | undefined;
  readonly crashes: CrashTracker;
}

/** The parts of the execution that the result of an attempt changes. */
export interface ResultContext {
  readonly log: AttemptLog;
  readonly retries: RequestRetries;
  readonly ending: RequestEnding;
  readonly starter: AttemptStarter;
  readonly connectionFailures: ConnectionFailures;
}

type ResultHandlers = {
  [Kind in AttemptResult['kind']]: (
    result: Extract<AttemptResult, { kind: Kind }>,
    target: string,
  ) => ExecutionStep;
};

export default class AttemptResultHandler {
  private readonly resultHandlers: ResultHandlers = {
    answered: ({ answer }) => this.handleAnswer(answer),
    'not-run': () => {
      this.context.retries.recordFailure();
      return this.context.ending.retryUnrun('refused-by-targets');
    },
    'not-sent': () => {
      this.context.connectionFailures.record();
      return this.context.ending.retryUnrun('unreachable');
    },
    broken: (_result, target) => {
      this.parts.crashes.recordCrash(this.plan.fingerprint, target);
      return this.context.ending.handleFailure('connection-broke');
    },
    dropped: () => {
      this.context.starter.requireNewConnection();
      return this.context.ending.handleFailure('connection-broke');
    },
    timeout: () => this.context.ending.handleFailure('timeout'),
    cancelled: () => CANCELLED,
  };

  private readonly answerHandlers: Readonly<
    Record<AnswerVerdict, (answer: TargetAnswer) => ExecutionStep>
  > = {
    final: (answer) => ({ kind: 'done', outcome: { kind: 'answered', answer } }),
    error: (answer) => {
      this.context.ending.keepAnswer(answer);
      const isRetriable = isIdempotent(this.plan) && answer.bodyRest === undefined;
      return isRetriable ? RETRY : this.context.ending.conclude();
    },
    'not-genuine': (answer) => {
      answer.bodyRest?.destroy();
      return this.context.ending.handleFailure('unsigned-answer');
    },
  };

  constructor(
    private readonly parts: AttemptResultParts,
    private readonly plan: ExecutionPlan,
    private readonly context: ResultContext,
  ) {}

  /** Awaits the result of an attempt and handles it. */
  public async settle(attempt: RunningAttempt): Promise<ExecutionStep> {
    const result = await attempt.result;
    this.context.retries.recordEnd();
    this.parts.requestAdmission?.recheck(this.plan.service);
    if (!isSuccessful(result)) this.context.log.recordFailure(attempt, result);
    const handle = this.resultHandlers[result.kind] as (
      result: AttemptResult,
      target: string,
    ) => ExecutionStep;
    return handle(result, attempt.pick.target.entry.id);
  }

  /** Uses the first successful answer of two attempts and cancels the other attempt. */
  public async settleEither(first: RunningAttempt, second: RunningAttempt): Promise<ExecutionStep> {
    const winner = await Promise.race(
      [first, second].map(({ result }, index) => result.then(() => index)),
    );
    const [ended, other] = winner === 0 ? [first, second] : [second, first];
    const step = await this.settle(ended);
    if (!isSuccessful(await ended.result)) return this.settle(other);
    other.cancel();
    return step;
  }

  /** Gives up an attempt at a target that this daemon does not reach any more. */
  public async abandon(attempt: RunningAttempt): Promise<ExecutionStep> {
    attempt.cancel();
    const result = await attempt.result;
    if (result.kind !== 'cancelled' || this.plan.exchange.signal.aborted) {
      return this.settle(attempt);
    }
    this.context.retries.recordEnd();
    return this.context.ending.handleFailure('connection-broke');
  }

  private handleAnswer(answer: TargetAnswer): ExecutionStep {
    const { fingerprint, route } = this.plan;
    this.parts.crashes.recordAnswer(fingerprint);
    if (answer.isSigned) {
      this.parts.answerSizes?.record(route.name, lengthOf(answer));
    }
    return this.answerHandlers[judgeAnswer(answer)](answer);
  }
}
