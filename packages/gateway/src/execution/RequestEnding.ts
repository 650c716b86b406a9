/** Decides what the caller gets when no further attempt is made. */
import type { CrashTracker } from '@cactusrun/requests';
import type { CallerOutcome } from '../callers/CallerExchange.js';
import { refuse } from '../callers/CallerExchange.js';
import type { RefusalReason } from '../callers/Refusal.js';
import type { TargetAnswer } from '../connections/TargetAttempt.js';
import type { ExecutionPlan } from './ExecutionPlan.js';
import { isIdempotent } from './ExecutionPlan.js';
import type { ExecutionStep } from './ExecutionStep.js';
import { RETRY } from './ExecutionStep.js';
import type RequestRetries from './RequestRetries.js';

export interface RequestEndingParts {
  readonly crashes: CrashTracker;
}

export default class RequestEnding {
  /** The outcome for the caller if no retry succeeds; set once the request may have run. */
  private failure: CallerOutcome | undefined;

  private lastReason: RefusalReason = 'no-target';

  constructor(
    private readonly parts: RequestEndingParts,
    private readonly plan: ExecutionPlan,
    private readonly retries: RequestRetries,
  ) {}

  /** Retries a request that certainly did not run; it is refused for this reason if it cannot be. */
  public retryUnrun(reason: RefusalReason): ExecutionStep {
    this.lastReason = reason;
    return RETRY;
  }

  /** Keeps an answer that the caller gets if no other target has a better one. */
  public keepAnswer(answer: TargetAnswer): void {
    this.retries.recordFailure();
    this.failure = { kind: 'answered', answer };
  }

  /** Ends a request that may have run, or retries it if it is idempotent. */
  public handleFailure(reason: RefusalReason): ExecutionStep {
    this.retries.recordFailure();
    this.failure ??= refuse(reason);
    const isHeld = () => this.parts.crashes.isHeld(this.plan.fingerprint);
    const isRetriable = isIdempotent(this.plan) && !isHeld();
    return isRetriable ? RETRY : { kind: 'done', outcome: this.failure };
  }

  /**
   * Ends the attempts: the caller gets the failure of a target, or a refusal if nothing ran.
   *
   * @param reason - why nothing ran; if undefined, for the reason of the last attempt
   */
  public conclude(
    reason: RefusalReason = this.lastReason,
    freeInMilliseconds?: number,
  ): ExecutionStep {
    return { kind: 'done', outcome: this.failure ?? refuse(reason, freeInMilliseconds) };
  }
}
