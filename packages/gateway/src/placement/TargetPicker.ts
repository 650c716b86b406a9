/**
 * Chooses the target of a request by lowest cost. The cost combines the probability that the target
 * fails the request now, the probability that it becomes unhealthy while the request waits, the
 * expected lateness of the answer, and the cost of the network path and of a new connection. The same function serves every
 * load: with free slots everywhere the healthiest target wins, with queues everywhere the shortest
 * wait does.
 */
import type { Clock, Random } from '@cactusrun/core';
import type { RequestKind } from '../state/GatewayConfiguration.js';
import { isRepeatable } from '../state/GatewayConfiguration.js';
import type OutstandingRequests from './OutstandingRequests.js';
import type ServiceTimes from './ServiceTimes.js';
import type TargetCoverage from './TargetCoverage.js';
import type { DueReason } from './TargetCoverage.js';
import type TargetAdmission from '../limits/TargetAdmission.js';
import type TargetTable from '../state/TargetTable.js';
import type { KnownTarget } from '../state/TargetTable.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Probability per second that the target becomes unhealthy before it starts a waiting request. */
const ONSET_PER_SECOND = 0.04;
/** A failed request that may be retried costs less: time, and part of the retry budget. */
const IDEMPOTENT_FAILURE_COST = 0.5;
/** Weight and power of the expected time relative to the objective; small until queues are long. */
const LATENESS_COST = 0.5;
const LATENESS_POWER = 3;
/** Queued requests per slot from which a target counts as full. */
const QUEUED_REQUESTS_PER_SLOT = 2;
/** Cost of another availability zone and of another region, plus a cost per byte of the body. */
const ZONE_COST = 0.02;
const ZONE_COST_PER_BYTE = 2e-6;
const REGION_COST = 0.06;
const REGION_COST_PER_BYTE = 2e-5;
/**
 * Cost of opening a connection, which is priced and takes a round trip and a slot at the target. It
 * keeps an entry at the targets that it used lately when a service has many more than it needs, and
 * is small beside the risk at a target that looks unhealthy and beside a wait.
 */
const NEW_CONNECTION_COST = 0.03;
/** Added latency of another region: the round trip, and sometimes a new connection. */
const REGION_LATENCY_MILLISECONDS = 70;
/** Factor by which requests take longer at a target that has just started. */
const COLD_START_FACTOR = 2;
/** Range of the random term that breaks ties between similar costs. */
const TIE_BREAK_COST = 0.01;
/** Cost reduction for the first request to a new target, whose health is unknown. */
const FIRST_USE_DISCOUNT = 0.4;
/** Cost reduction for a target that is due for a request, which shows whether it is healthy. */
const DUE_DISCOUNTS: Readonly<Record<DueReason, number>> = { idle: 0.4, floor: 2 };
/** A target counts as new for this long. */
const NEW_TARGET_MILLISECONDS = 10_000;

export interface PickQuery {
  readonly service: string;
  readonly kind: RequestKind;
  readonly bodyBytes: number;
  readonly objectiveMilliseconds: number;
  /** Remaining time until the caller's deadline. */
  readonly remainingMilliseconds: number;
  /** Targets that already received this request or could not be reached for it. */
  readonly excluded: ReadonlySet<string>;
  /** Whether a target without a queue is preferred wherever it is; not by default. */
  readonly needsFreeSlot?: boolean;
}

export interface Pick {
  readonly target: KnownTarget;
  /** Expected time until the answer. */
  readonly expectedMilliseconds: number;
  /** Expected time until the target starts the request. */
  readonly waitMilliseconds: number;
  readonly failureProbability: number;
  /** Requests running or queued at the target. */
  readonly requestsThere: number;
  /** Set when the target is due for a request after an idle time. */
  readonly due: DueReason | undefined;
}

export type PickResult =
  | { readonly kind: 'picked'; readonly pick: Pick }
  | { readonly kind: 'no-target' }
  /** The rate limits of all targets are used up. */
  | { readonly kind: 'rate-limited' }
  /** All targets asked this daemon to back off; the first one may be used after this time. */
  | { readonly kind: 'backing-off'; readonly freeInMilliseconds: number }
  /** No target is expected to answer in time. */
  | { readonly kind: 'full'; readonly expectedMilliseconds: number };

export interface Location {
  readonly zone: string;
  readonly region: string;
}

type Admission = { [Question in 'denialOf' | 'isUnproven']: TargetAdmission[Question] };

export interface TargetPickerParts {
  /** Location of this daemon. */
  readonly location: Location;
  readonly regionOf: (zone: string) => string | undefined;
  readonly targets: TargetTable;
  readonly outstanding: OutstandingRequests;
  readonly serviceTimes: ServiceTimes;
  readonly coverage: TargetCoverage;
  /** Whether a target may be sent to now. */
  readonly admission: Admission;
  /** Whether a request to the target would be sent on an open connection. */
  readonly hasConnection: (target: string, kind: 'repeatable' | 'once') => boolean;
  readonly clock: Clock;
  readonly random: Random;
}

export default class TargetPicker {
  constructor(private readonly parts: TargetPickerParts) {}

  public pick(query: PickQuery): PickResult {
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
    const sameRegion = candidates.filter(({ entry }) => !this.isOtherRegion(entry.zone));
    const due = this.parts.coverage.due(query.service, sameRegion);
    const picks = candidates.map((target) => this.estimate(target, query.service, now, due));
    const fitting = picks.filter(
      ({ expectedMilliseconds }) => expectedMilliseconds < query.remainingMilliseconds,
    );
    const best = this.cheapest(query.needsFreeSlot ? withFreeSlots(fitting) : fitting, query);
    if (best !== undefined) return { kind: 'picked', pick: best };
    const shortest = Math.min(...picks.map(({ expectedMilliseconds }) => expectedMilliseconds));
    return { kind: 'full', expectedMilliseconds: shortest };
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

  private cheapest(picks: readonly Pick[], query: PickQuery): Pick | undefined {
    return picks
      .map((pick) => ({ pick, cost: this.costOf(pick, query) }))
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
    const networkMilliseconds = this.isOtherRegion(entry.zone) ? REGION_LATENCY_MILLISECONDS : 0;
    return {
      target,
      expectedMilliseconds: serviceMilliseconds * queueRounds + networkMilliseconds,
      waitMilliseconds: serviceMilliseconds * (queueRounds - 1),
      failureProbability: target.healthEstimate.failureProbabilityAt(now),
      requestsThere,
      due: due.get(entry.id),
    };
  }

  private costOf(pick: Pick, query: PickQuery): number {
    const { entry } = pick.target;
    const waitSeconds = pick.waitMilliseconds / MILLISECONDS_PER_SECOND;
    const failure = pick.failureProbability + ONSET_PER_SECOND * waitSeconds;
    const failureCost = isRepeatable(query.kind) ? IDEMPOTENT_FAILURE_COST : 1;
    const lateness =
      LATENESS_COST * (pick.expectedMilliseconds / query.objectiveMilliseconds) ** LATENESS_POWER;
    const overflow = pick.requestsThere >= entry.slots * (1 + QUEUED_REQUESTS_PER_SLOT) ? 1 : 0;
    const firstUseDiscount = this.isUnused(pick) ? FIRST_USE_DISCOUNT : 0;
    const dueDiscount = pick.due === undefined ? 0 : DUE_DISCOUNTS[pick.due];
    return (
      failure * failureCost -
      firstUseDiscount -
      dueDiscount +
      lateness +
      overflow +
      this.networkCost(entry.zone, query.bodyBytes) +
      this.connectionCost(pick, query.kind) +
      this.parts.random.unit() * TIE_BREAK_COST
    );
  }

  /** Whether the target is new and has not received a request yet. */
  private isUnused({ target, requestsThere }: Pick): boolean {
    const isNew = this.parts.clock.now() - target.joinedAt < NEW_TARGET_MILLISECONDS;
    return isNew && target.usedAt === 0 && requestsThere === 0;
  }

  private networkCost(zone: string, bodyBytes: number): number {
    if (zone === this.parts.location.zone) return 0;
    return this.isOtherRegion(zone)
      ? REGION_COST + bodyBytes * REGION_COST_PER_BYTE
      : ZONE_COST + bodyBytes * ZONE_COST_PER_BYTE;
  }

  /** An open connection is worth nothing where the request would wait for a slot. */
  private connectionCost({ target, requestsThere }: Pick, kind: RequestKind): number {
    const { id, slots } = target.entry;
    if (requestsThere >= slots) return NEW_CONNECTION_COST;
    const sendKind = isRepeatable(kind) ? 'repeatable' : 'once';
    return this.parts.hasConnection(id, sendKind) ? 0 : NEW_CONNECTION_COST;
  }

  private isOtherRegion(zone: string): boolean {
    return this.parts.regionOf(zone) !== this.parts.location.region;
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
