/**
 * Decides which requests of one service are admitted when its slots are taken: by priority, then
 * fairly among workspaces, then by arrival. It keeps no timers and knows no network.
 *
 * While there is a free slot the first request in order is admitted. Beyond that each request has an
 * allowance: how full the targets of the region may be, in requests per slot, for it to be sent. The
 * allowance is larger for urgent requests and grows with the wait. Daemons see the same fullness, so
 * the one with the most urgent request, or the one that waited longest, gets room first without a
 * message between them; and a request that waits on stale knowledge is sent in the end.
 */
import type { AdmissionQuery, ShedReason } from './AdmissionQuery.js';
import type { FairTag } from './FairShares.js';
import FairShares from './FairShares.js';
import PriorityShares from './PriorityShares.js';
import type { Room } from './Room.js';
import { releaseRateOf, takeFrom } from './Room.js';
import { waitLimitsOf } from './waitLimits.js';

/** Requests per slot beyond one up to which the least urgent requests are sent at once. */
const BASE_ALLOWANCE = 0.25;
/** What the most urgent have in addition: no wait of a less urgent one makes up for it. */
const URGENT_ALLOWANCE = 0.3;
/** What a request gains with its wait. */
const WAIT_ALLOWANCE = 0.25;
/** Part of the room that more urgent arrivals always leave. */
const MINIMUM_RATE_SHARE = 0.1;
/** Requests that wait at one daemon for one service. */
const MAXIMUM_WAITING = 100;

/** A request that waits for the decision. */
export interface WaitingRequest {
  readonly query: AdmissionQuery;
  readonly arrivedAt: number;
  readonly sequence: number;
  readonly tag: FairTag;
}

export interface Refusal {
  readonly kind: 'refused';
  readonly request: WaitingRequest;
  readonly reason: ShedReason;
  /** Expected time until its answer. */
  readonly expectedMilliseconds: number;
}

export type Decision =
  | { readonly kind: 'admitted'; readonly request: WaitingRequest; readonly needsFreeSlot: boolean }
  | Refusal;

export default class ServiceAdmission {
  private waiting: readonly WaitingRequest[] = [];

  private readonly fairShares = new FairShares();

  private readonly priorityShares = new PriorityShares();

  private sequence = 0;

  /** Number of requests that wait. */
  public get size(): number {
    return this.waiting.length;
  }

  /** Adds a request to those that the next decision is about. */
  public add(query: AdmissionQuery, now: number): WaitingRequest {
    this.sequence += 1;
    const tag = this.fairShares.reserve(query.workspace, now);
    const request = { query, arrivedAt: now, sequence: this.sequence, tag };
    this.priorityShares.recordAsked(query.priority, now);
    this.waiting = [...this.waiting, request];
    return request;
  }

  /** Removes a request whose caller left. */
  public cancel(request: WaitingRequest, now: number): void {
    if (!this.waiting.includes(request)) return;
    this.waiting = this.waiting.filter((other) => other !== request);
    this.fairShares.release(request.tag);
    this.priorityShares.recordCancelled(request.query.priority, now);
  }

  /** Admits a request beside free slots, where nobody waits. */
  public admitAtOnce({ workspace, priority }: AdmissionQuery, now: number): void {
    this.priorityShares.recordAsked(priority, now);
    this.priorityShares.recordAdmitted(priority, now);
    this.fairShares.recordAdmitted(this.fairShares.reserve(workspace, now), now);
  }

  /** Decides on all that wait; what is left goes on waiting. */
  public decide(room: Room, now: number): readonly Decision[] {
    const admitted = this.admit(room, now);
    const left = admitted.reduce(takeFrom, room);
    const refused = this.shed(left, now);
    return [...admitted, ...refused];
  }

  private admit(room: Room, now: number): readonly Decision[] {
    const ordered = this.inOrder(now);
    let left = room;
    const firstBlocked = ordered.findIndex((request) => {
      if (!this.isAllowed(request, left, now)) return true;
      left = takeFrom(left);
      return false;
    });
    const count = firstBlocked < 0 ? ordered.length : firstBlocked;
    this.waiting = ordered.slice(count);
    let before = room;
    return ordered.slice(0, count).map((request) => {
      const needsFreeSlot = before.freeSlots === 0 && before.remoteFreeSlots > 0;
      before = takeFrom(before);
      this.fairShares.recordAdmitted(request.tag, now);
      this.priorityShares.recordAdmitted(request.query.priority, now);
      return { kind: 'admitted', request, needsFreeSlot };
    });
  }

  private isAllowed(request: WaitingRequest, room: Room, now: number): boolean {
    // Without a request of its own there, a daemon knows little of the targets: the answer tells.
    if (room.isOpen || room.ownOutstanding === 0) return true;
    if (room.freeSlots > 0 || room.remoteFreeSlots > 0) return true;
    return room.outstanding < room.slots * (1 + this.allowanceOf(request, room, now));
  }

  private allowanceOf({ query, arrivedAt }: WaitingRequest, room: Room, now: number): number {
    const { untilExpiry } = waitLimitsOf(query, room.serviceMilliseconds, arrivedAt);
    const waited = untilExpiry > 0 ? Math.min(1, (now - arrivedAt) / untilExpiry) : 1;
    const isFirst = this.priorityShares.isBelowFloor(query.priority, now);
    const urgency = isFirst ? 1 : 1 - this.priorityShares.positionOf(query.priority, now);
    return BASE_ALLOWANCE + URGENT_ALLOWANCE * urgency + WAIT_ALLOWANCE * waited;
  }

  /** Refuses what cannot be served in time: on arrival at once, later when its wait is over. */
  private shed(room: Room, now: number): readonly Refusal[] {
    const rate = releaseRateOf(room);
    const leastUrgent = Math.max(...this.waiting.map(({ query }) => query.priority));
    const shed = this.waiting.flatMap((request, index): Refusal[] => {
      const expected = (index + 1) / this.rateFor(request.query.priority, rate, now);
      const reason =
        index >= MAXIMUM_WAITING
          ? 'queue-full'
          : shedReasonOf(request, { expected, leastUrgent, room, now });
      const expectedMilliseconds = expected + room.serviceMilliseconds;
      return reason === undefined
        ? []
        : [{ kind: 'refused', request, reason, expectedMilliseconds }];
    });
    const shedRequests = new Set(shed.map(({ request }) => request));
    this.waiting = this.waiting.filter((request) => !shedRequests.has(request));
    shed.forEach(({ request }) => this.fairShares.release(request.tag));
    return shed;
  }

  /** Rate of the room that more urgent arrivals leave, in requests per millisecond. */
  private rateFor(priority: number, rate: number, now: number): number {
    const left = rate - this.priorityShares.moreUrgentRateOf(priority, now);
    return Math.max(left, rate * MINIMUM_RATE_SHARE);
  }

  private inOrder(now: number): readonly WaitingRequest[] {
    const priorities = new Set(this.waiting.map(({ query }) => query.priority));
    const isFirst = new Map(
      [...priorities].map((priority) => [
        priority,
        this.priorityShares.isBelowFloor(priority, now),
      ]),
    );
    const rankOf = ({ query: { priority } }: WaitingRequest) =>
      isFirst.get(priority) ? Number.NEGATIVE_INFINITY : priority;
    return [...this.waiting].sort((left, right) => {
      const [leftRank, rightRank] = [rankOf(left), rankOf(right)];
      if (leftRank !== rightRank) return leftRank < rightRank ? -1 : 1;
      return left.tag.start - right.tag.start || left.sequence - right.sequence;
    });
  }
}

interface ShedQuery {
  /** Expected time until there is room for the request. */
  readonly expected: number;
  /** The least urgent priority of those that wait. */
  readonly leastUrgent: number;
  readonly room: Room;
  readonly now: number;
}

function shedReasonOf(
  { query, arrivedAt }: WaitingRequest,
  { expected, leastUrgent, room, now }: ShedQuery,
): ShedReason | undefined {
  const { onArrival, untilExpiry } = waitLimitsOf(query, room.serviceMilliseconds, arrivedAt);
  const waited = now - arrivedAt;
  if (waited > 0 && waited >= untilExpiry) return 'wait-expired';
  // Room for a less urgent request that waits is room for this one.
  if (query.priority < leastUrgent && untilExpiry > 0) return undefined;
  if (waited > 0) return waited + expected > untilExpiry ? 'wait-expired' : undefined;
  return expected > onArrival ? 'wait-too-long' : undefined;
}
