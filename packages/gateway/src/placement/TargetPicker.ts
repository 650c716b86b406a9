/**
 * Chooses the target of a request by lowest expected cost. The same function serves every load: with
 * free slots everywhere the healthiest target wins, with queues everywhere the shortest wait does.
 * Requests that may be retried also try targets of which too little is known; where there are such
 * requests, those that must run once go only where others have just succeeded.
 */
import { isRepeatable } from '../state/GatewayConfiguration.js';
import type OutstandingRequests from './OutstandingRequests.js';
import type ServiceTimes from './ServiceTimes.js';
import RepeatableTraffic from './RepeatableTraffic.js';
import TargetCost from './TargetCost.js';
import type { TargetCostParts } from './TargetCost.js';
import type TargetCoverage from './TargetCoverage.js';
import type { DueReason } from './TargetCoverage.js';
import type { Pick, PickQuery, PickResult } from './TargetPick.js';
import type TargetAdmission from '../limits/TargetAdmission.js';
import type TargetTable from '../state/TargetTable.js';
import type { KnownTarget } from '../state/TargetTable.js';

/** Added latency of another region: the round trip, and sometimes a new connection. */
const REGION_LATENCY_MILLISECONDS = 70;
/** Factor by which requests take longer at a target that has just started. */
const COLD_START_FACTOR = 2;

type Admission = { [Question in 'denialOf' | 'isUnproven']: TargetAdmission[Question] };

export interface TargetPickerParts extends TargetCostParts {
  readonly targets: TargetTable;
  readonly outstanding: OutstandingRequests;
  readonly serviceTimes: ServiceTimes;
  readonly coverage: TargetCoverage;
  /** Whether a target may be sent to now. */
  readonly admission: Admission;
}

export default class TargetPicker {
  private readonly cost: TargetCost;

  private readonly repeatable: RepeatableTraffic;

  constructor(private readonly parts: TargetPickerParts) {
    this.cost = new TargetCost(parts);
    this.repeatable = new RepeatableTraffic(parts.clock);
  }

  public pick(query: PickQuery): PickResult {
    if (isRepeatable(query.kind)) this.repeatable.record(query.service);
    const now = this.parts.clock.now();
    const usable = this.parts.targets
      .usable(query.service)
      .filter(({ entry }) => !query.excluded.has(entry.id));
    const admitted = usable.filter(({ entry }) => !this.parts.admission.denialOf(entry));
    if (admitted.length === 0) return this.explainDenials(query.service, usable, now);
    const reachable = preferring(admitted, ({ blockedUntil }) => blockedUntil <= now);
    // A retry is one of few attempts: it does not go where it may well be refused again.
    const isRetry = query.excluded.size > 0;
    const candidates = preferring(
      reachable,
      ({ entry }) => !isRetry || !this.parts.admission.isUnproven(entry),
    );
    const sameRegion = candidates.filter(({ entry }) => !this.cost.isOtherRegion(entry.zone));
    const leavesTrials = this.leavesTrials(query);
    const due = this.parts.coverage.due(query.service, sameRegion, leavesTrials);
    const picks = candidates.map((target) => this.estimate(target, query.service, now, due));
    const fitting = picks.filter(
      ({ expectedMilliseconds }) => expectedMilliseconds < query.remainingMilliseconds,
    );
    const eligible = query.needsFreeSlot ? withFreeSlots(fitting) : fitting;
    const best = this.cheapest(eligible, query, leavesTrials);
    if (best !== undefined) return { kind: 'picked', pick: best };
    const shortest = Math.min(...picks.map(({ expectedMilliseconds }) => expectedMilliseconds));
    return { kind: 'full', expectedMilliseconds: shortest };
  }

  /** Whether the request must not be lost to a trial: requests that may be retried find out. */
  private leavesTrials({ kind, service }: PickQuery): boolean {
    return !isRepeatable(kind) && this.repeatable.isFlowing(service);
  }

  /**
   * Why no target may be sent to.
   *
   * @param usable - the targets that have not received the request yet
   */
  private explainDenials(service: string, usable: readonly KnownTarget[], now: number): PickResult {
    const denialsOf = (targets: readonly KnownTarget[]) =>
      targets.flatMap(({ entry }) => this.parts.admission.denialOf(entry) ?? []);
    if (denialsOf(usable).some(({ kind }) => kind === 'rate-limited')) {
      return { kind: 'rate-limited' };
    }
    const backoffEnds = denialsOf(this.parts.targets.usable(service)).flatMap((denial) =>
      denial.kind === 'backing-off' ? [denial.until] : [],
    );
    return backoffEnds.length === 0
      ? { kind: 'no-target' }
      : { kind: 'backing-off', freeInMilliseconds: Math.min(...backoffEnds) - now };
  }

  private cheapest(
    picks: readonly Pick[],
    query: PickQuery,
    leavesTrials: boolean,
  ): Pick | undefined {
    return picks
      .map((pick) => ({ pick, cost: this.cost.costOf(pick, query, leavesTrials) }))
      .reduce<{ pick: Pick; cost: number } | undefined>(
        (best, next) => (best === undefined || next.cost < best.cost ? next : best),
        undefined,
      )?.pick;
  }

  private estimate(
    target: KnownTarget,
    service: string,
    now: number,
    due: ReadonlyMap<string, DueReason>,
  ): Pick {
    const { entry } = target;
    const requestsThere = this.parts.outstanding.countAt(entry.id, now);
    const coldFactor = target.coldUntil > now ? COLD_START_FACTOR : 1;
    const serviceMilliseconds =
      this.parts.serviceTimes.meanOf(service) *
      this.parts.serviceTimes.slowdownOf(entry.id) *
      coldFactor;
    const queueRounds = Math.max(1, (requestsThere + 1) / entry.slots);
    const networkMilliseconds = this.cost.isOtherRegion(entry.zone)
      ? REGION_LATENCY_MILLISECONDS
      : 0;
    return {
      target,
      expectedMilliseconds: serviceMilliseconds * queueRounds + networkMilliseconds,
      waitMilliseconds: serviceMilliseconds * (queueRounds - 1),
      failureProbability: target.healthEstimate.failureProbabilityAt(now),
      requestsThere,
      due: due.get(entry.id),
    };
  }
}

/** The picks that would not queue, or all of them if every one would. */
function withFreeSlots(picks: readonly Pick[]): readonly Pick[] {
  const free = picks.filter(({ target, requestsThere }) => requestsThere < target.entry.slots);
  return free.length > 0 ? free : picks;
}

/** The targets that meet the condition, or all of them if none does. */
function preferring(
  targets: readonly KnownTarget[],
  isPreferred: (target: KnownTarget) => boolean,
): readonly KnownTarget[] {
  const preferred = targets.filter(isPreferred);
  return preferred.length > 0 ? preferred : targets;
}
