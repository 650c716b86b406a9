/** Picks the target of an attempt and starts it; no target gets the same request twice. */
import type HedgePolicy from '../hedging/HedgePolicy.js';
import type AnswerSizes from '../placement/AnswerSizes.js';
import type { Pick, PickResult } from '../placement/TargetPick.js';
import type TargetPicker from '../placement/TargetPicker.js';
import type AdmissionClaim from './AdmissionClaim.js';
import type { ExecutionPlan } from './ExecutionPlan.js';
import { sendKindOf } from './ExecutionPlan.js';
import type RequestCounts from './RequestCounts.js';
import type RequestRetries from './RequestRetries.js';
import type { AttemptParts, RunningAttempt } from './RunningAttempt.js';
import { startAttempt } from './RunningAttempt.js';

export interface AttemptStarterParts extends AttemptParts {
  readonly picker: TargetPicker;
  readonly hedging: HedgePolicy;
  /** Learns the lengths of answers; if absent, they do not count in the choice of targets. */
  readonly answerSizes?: AnswerSizes;
}

export default class AttemptStarter {
  /** Targets that received the request, or could not be reached for it. */
  private readonly excluded = new Set<string>();

  private needsNewConnection = false;

  constructor(
    private readonly parts: AttemptStarterParts,
    private readonly plan: ExecutionPlan,
    private readonly admission: AdmissionClaim,
    private readonly counts: RequestCounts,
    private readonly retries: RequestRetries,
  ) {}

  public get targetsTried(): number {
    return this.excluded.size;
  }

  /** Has later attempts open a connection: the target had dropped the idle one that was used. */
  public requireNewConnection(): void {
    this.needsNewConnection = true;
  }

  public pick(): PickResult {
    const { exchange, route, service, deadline } = this.plan;
    return this.parts.picker.pick({
      service,
      kind: route.kind,
      bodyBytes: exchange.body.length,
      answerBytes: this.parts.answerSizes?.meanOf(route.name) ?? 0,
      objectiveMilliseconds: route.objectiveMilliseconds,
      remainingMilliseconds: deadline - this.parts.clock.now(),
      excluded: this.excluded,
      needsFreeSlot: this.admission.needsFreeSlot,
    });
  }

  public start(pick: Pick): RunningAttempt {
    const { exchange, fields, service, deadline } = this.plan;
    const isFirst = this.excluded.size === 0 && (exchange.relayed?.attemptsMade ?? 0) === 0;
    if (isFirst) this.parts.hedging.recordRequest(service);
    this.excluded.add(pick.target.entry.id);
    this.counts.countFirstAttempt();
    const { isRetry } = this.retries;
    this.retries.recordStart();
    const request = {
      id: exchange.id,
      method: exchange.method,
      path: exchange.path,
      fields,
      body: exchange.body,
      kind: sendKindOf(this.plan),
      deadline,
      isRetry,
      needsNewConnection: this.needsNewConnection,
    } as const;
    return startAttempt(this.parts, pick, service, request, exchange.signal);
  }
}
