/**
 * Chooses the target of a request. The cost of a target is the expected loss of sending there: the
 * chance that it fails the request now, the chance that it falls sick while the request waits and
 * runs, the chance that the answer is late, and the price of the way. Answers every load: with room
 * everywhere the soundest target wins, with queues everywhere the shortest wait does.
 */
import type { Clock, Random } from '@cactusrun/core';
import type { RequestKind } from './GatewayConfiguration.js';
import type OutstandingCalls from './OutstandingCalls.js';
import type ServiceTimes from './ServiceTimes.js';
import type TargetCoverage from './TargetCoverage.js';
import type { DueReason } from './TargetCoverage.js';
import type TargetTable from './TargetTable.js';
import type { KnownTarget } from './TargetTable.js';

const MILLISECONDS = 1_000;
/** Chance per second of waiting that the target falls sick before it begins the request. */
const HAZARD_PER_SECOND = 0.04;
/** A request that may be repeated loses less by a failure: time, and a share of the retry budget. */
const IDEMPOTENT_FAILURE_COST = 0.5;
/** Weight of the expected time over the objective, cubed: little until queues are long. */
const LATENESS_COST = 0.5;
const LATENESS_POWER = 3;
/** Requests that a target holds beyond its slots before it is taken for full. */
const QUEUE_PER_SLOT = 2;
/** Price of another availability zone, and of another region by the size of the request. */
const ZONE_COST = 0.004;
const ZONE_COST_PER_BYTE = 2e-6;
const REGION_COST = 0.06;
const REGION_COST_PER_BYTE = 2e-5;
/** Added time of another region: there and back, with a new connection at times. */
const REGION_MILLISECONDS = 70;
/** Work of a target that has just started takes this many times longer. */
const COLD_FACTOR = 2;
/** Costs that differ by less are alike; the choice among them is random. */
const RANDOM_COST = 0.01;
/** Gain of the first request to a target that no daemon has used: it has yet to be known. */
const FIRST_USE_GAIN = 0.4;
/** Gain of a request to an idle target: it shows whether the target is well. */
const DUE_GAINS: Readonly<Record<DueReason, number>> = { idle: 0.4, floor: 2 };
/** A target counts as new for this long. */
const NEW_MILLISECONDS = 10_000;

export interface PickQuery {
  readonly service: string;
  readonly kind: RequestKind;
  readonly bodyBytes: number;
  readonly objectiveMilliseconds: number;
  /** Time that the caller will still wait. */
  readonly remainingMilliseconds: number;
  /** Targets that have had this request, or could not be reached for it. */
  readonly excluded: ReadonlySet<string>;
}

export interface Pick {
  readonly target: KnownTarget;
  /** Expected time until the answer. */
  readonly expectedMilliseconds: number;
  /** Expected time until the target begins. */
  readonly waitMilliseconds: number;
  readonly failureProbability: number;
  readonly requestsThere: number;
  /** Set when the target has had no request for a while. */
  readonly due: DueReason | undefined;
}

export type PickResult =
  | { readonly kind: 'picked'; readonly pick: Pick }
  | { readonly kind: 'no-target' }
  /** No target would answer in time. */
  | { readonly kind: 'full'; readonly expectedMilliseconds: number };

export interface Place {
  readonly zone: string;
  readonly region: string;
}

export interface TargetPickerParts {
  /** Where this daemon runs. */
  readonly place: Place;
  readonly regionOf: (zone: string) => string | undefined;
  readonly targets: TargetTable;
  readonly outstanding: OutstandingCalls;
  readonly times: ServiceTimes;
  readonly coverage: TargetCoverage;
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
    const reachable = usable.filter(({ blockedUntil }) => blockedUntil <= now);
    const candidates = reachable.length > 0 ? reachable : usable;
    const near = candidates.filter(({ entry }) => !this.isFar(entry.zone));
    const due = this.parts.coverage.due(query.service, near);
    const picks = candidates.map((target) => this.estimate(target, query.service, now, due));
    const fitting = picks.filter(
      ({ expectedMilliseconds }) => expectedMilliseconds < query.remainingMilliseconds,
    );
    const best = this.cheapest(fitting, query);
    if (best !== undefined) return { kind: 'picked', pick: best };
    if (picks.length === 0) return { kind: 'no-target' };
    const shortest = Math.min(...picks.map(({ expectedMilliseconds }) => expectedMilliseconds));
    return { kind: 'full', expectedMilliseconds: shortest };
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
    const requestsThere = this.parts.outstanding.at(entry.id, now);
    const cold = target.coldUntil > now ? COLD_FACTOR : 1;
    const work = this.parts.times.meanOf(service) * this.parts.times.slownessOf(entry.id) * cold;
    const rounds = Math.max(1, (requestsThere + 1) / entry.slots);
    const way = this.isFar(entry.zone) ? REGION_MILLISECONDS : 0;
    return {
      target,
      expectedMilliseconds: work * rounds + way,
      waitMilliseconds: work * (rounds - 1),
      failureProbability: target.belief.failureAt(now),
      requestsThere,
      due: due.get(entry.id),
    };
  }

  private costOf(pick: Pick, query: PickQuery): number {
    const { entry } = pick.target;
    const waitSeconds = pick.waitMilliseconds / MILLISECONDS;
    const failure = pick.failureProbability + HAZARD_PER_SECOND * waitSeconds;
    const failureCost = query.kind === 'idempotent' ? IDEMPOTENT_FAILURE_COST : 1;
    const lateness =
      LATENESS_COST * (pick.expectedMilliseconds / query.objectiveMilliseconds) ** LATENESS_POWER;
    const overflow = pick.requestsThere >= entry.slots * (1 + QUEUE_PER_SLOT) ? 1 : 0;
    const firstUse = this.isUnknown(pick) ? FIRST_USE_GAIN : 0;
    const dueGain = pick.due === undefined ? 0 : DUE_GAINS[pick.due];
    return (
      failure * failureCost -
      firstUse -
      dueGain +
      lateness +
      overflow +
      this.wayCost(entry.zone, query.bodyBytes) +
      this.parts.random.unit() * RANDOM_COST
    );
  }

  /** Whether a new target has had no request yet. */
  private isUnknown({ target, requestsThere }: Pick): boolean {
    const isNew = this.parts.clock.now() - target.joinedAt < NEW_MILLISECONDS;
    return isNew && target.usedAt === 0 && requestsThere === 0;
  }

  private wayCost(zone: string, bodyBytes: number): number {
    if (zone === this.parts.place.zone) return 0;
    return this.isFar(zone)
      ? REGION_COST + bodyBytes * REGION_COST_PER_BYTE
      : ZONE_COST + bodyBytes * ZONE_COST_PER_BYTE;
  }

  private isFar(zone: string): boolean {
    return this.parts.regionOf(zone) !== this.parts.place.region;
  }
}
