/**
 * The expected cost of sending a request to a target: the risk that the target fails it now or
 * becomes unhealthy while it waits, the expected lateness of the answer, and the network path. A
 * failure that the caller gets counts 1.
 */
import type { Clock, Random } from '@cactusrun/core';
import type { RequestKind } from '../state/GatewayConfiguration.js';
import { isRepeatable } from '../state/GatewayConfiguration.js';
import type { DueReason } from './TargetCoverage.js';
import type { Pick, PickQuery } from './TargetPick.js';

const MILLISECONDS_PER_SECOND = 1_000;
/** Probability per second that the target becomes unhealthy before it starts a waiting request. */
const ONSET_PER_SECOND = 0.04;
/** A failed request that may be retried costs less: time, and part of the retry budget. */
const REPEATABLE_FAILURE_COST = 0.5;
/** Weight and power of the expected time relative to the objective; small until queues are long. */
const LATENESS_COST = 0.5;
const LATENESS_POWER = 3;
/** Queued requests per slot from which a target counts as full. */
const QUEUED_REQUESTS_PER_SLOT = 2;
/** Cost of another availability zone and of another region, plus a cost per byte of the bodies. */
const ZONE_COST = 0.02;
const ZONE_COST_PER_BYTE = 2e-6;
const REGION_COST = 0.06;
const REGION_COST_PER_BYTE = 2e-5;
/**
 * Greatest cost of the bytes of an answer, relative to that of a failure: less than the risk at a
 * target that is unhealthy, so that a large answer does not tie a request to one.
 */
const MAXIMUM_ANSWER_COST = 0.4;
/**
 * Cost of opening a connection, which is priced and takes a round trip and a slot at the target. It
 * keeps an entry at the targets that it used lately when a service has many more than it needs, and
 * is small beside the risk at a target that looks unhealthy and beside a wait.
 */
const NEW_CONNECTION_COST = 0.03;
/** Range of the random term that breaks ties between similar costs. */
const TIE_BREAK_COST = 0.01;
/** Cost reduction for the first request to a new target, whose health is unknown. */
const FIRST_USE_DISCOUNT = 0.4;
/** Cost reduction for a target that is due for a request, which shows whether it is healthy. */
const DUE_DISCOUNTS: Readonly<Record<DueReason, number>> = { idle: 0.4, floor: 2 };
/** A target counts as new for this long. */
const NEW_TARGET_MILLISECONDS = 10_000;
/** For this long, a new target is left to the requests that may be retried, if there are any. */
const LEFT_TO_OTHERS_MILLISECONDS = 2_000;

export interface Location {
  readonly zone: string;
  readonly region: string;
}

export interface TargetCostParts {
  /** Location of this daemon. */
  readonly location: Location;
  readonly regionOf: (zone: string) => string | undefined;
  /** Whether a request to the target would be sent on an open connection. */
  readonly hasConnection: (target: string, kind: 'repeatable' | 'once') => boolean;
  readonly clock: Clock;
  readonly random: Random;
}

export default class TargetCost {
  constructor(private readonly parts: TargetCostParts) {}

  /** @param leavesTrials - whether other requests, which may be retried, find out who is healthy */
  public costOf(pick: Pick, query: PickQuery, leavesTrials: boolean): number {
    const failureCost = isRepeatable(query.kind) ? REPEATABLE_FAILURE_COST : 1;
    const waitSeconds = pick.waitMilliseconds / MILLISECONDS_PER_SECOND;
    const failure = pick.failureProbability + ONSET_PER_SECOND * waitSeconds;
    return (
      failure * failureCost +
      latenessCost(pick, query) +
      this.networkCost(pick.target.entry.zone, query, failureCost) +
      this.connectionCost(pick, query.kind) -
      this.discountOf(pick, leavesTrials) +
      this.parts.random.unit() * TIE_BREAK_COST
    );
  }

  public isOtherRegion(zone: string): boolean {
    return this.parts.regionOf(zone) !== this.parts.location.region;
  }

  /** What a request is worth as a trial of a target of which too little is known. */
  private discountOf(pick: Pick, leavesTrials: boolean): number {
    const firstUse = this.isUnused(pick, leavesTrials) ? FIRST_USE_DISCOUNT : 0;
    return firstUse + (pick.due === undefined ? 0 : DUE_DISCOUNTS[pick.due]);
  }

  /** Whether the target is new, has not received a request yet and should get this one. */
  private isUnused({ target, requestsThere }: Pick, leavesTrials: boolean): boolean {
    const age = this.parts.clock.now() - target.joinedAt;
    const isLeftToOthers = leavesTrials && age < LEFT_TO_OTHERS_MILLISECONDS;
    const isNew = age < NEW_TARGET_MILLISECONDS && !isLeftToOthers;
    return isNew && target.usedAt === 0 && requestsThere === 0;
  }

  private networkCost(zone: string, query: PickQuery, failureCost: number): number {
    if (zone === this.parts.location.zone) return 0;
    const [cost, perByte] = this.isOtherRegion(zone)
      ? [REGION_COST, REGION_COST_PER_BYTE]
      : [ZONE_COST, ZONE_COST_PER_BYTE];
    const answerCost = (query.answerBytes ?? 0) * perByte;
    return (
      cost + query.bodyBytes * perByte + Math.min(answerCost, MAXIMUM_ANSWER_COST * failureCost)
    );
  }

  /** An open connection is worth nothing where the request would wait for a slot. */
  private connectionCost({ target, requestsThere }: Pick, kind: RequestKind): number {
    const { id, slots } = target.entry;
    if (requestsThere >= slots) return NEW_CONNECTION_COST;
    const sendKind = isRepeatable(kind) ? 'repeatable' : 'once';
    return this.parts.hasConnection(id, sendKind) ? 0 : NEW_CONNECTION_COST;
  }
}

function latenessCost(
  { target, requestsThere, expectedMilliseconds }: Pick,
  { objectiveMilliseconds }: PickQuery,
): number {
  const isFull = requestsThere >= target.entry.slots * (1 + QUEUED_REQUESTS_PER_SLOT);
  const lateness = LATENESS_COST * (expectedMilliseconds / objectiveMilliseconds) ** LATENESS_POWER;
  return lateness + (isFull ? 1 : 0);
}
