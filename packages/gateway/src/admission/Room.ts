/** How much room the targets of a service have, as far as this daemon knows. */

export interface Room {
  /** Slots of the sound targets of this region. */
  readonly slots: number;
  /** Requests running or queued at these targets. */
  readonly outstanding: number;
  /** Slots without a request at these targets. */
  readonly freeSlots: number;
  /** Slots without a request at the sound targets of other regions. */
  readonly remoteFreeSlots: number;
  /** Requests that this daemon has at targets of the service. */
  readonly ownOutstanding: number;
  /** Mean time that a request occupies a slot. */
  readonly serviceMilliseconds: number;
  /** Set where admission must not act: nothing is known of targets, or none is reached. */
  readonly isOpen: boolean;
}

/** The room that is left once one more request is sent. */
export function takeFrom(room: Room): Room {
  const isLocal = room.freeSlots > 0 || room.remoteFreeSlots === 0;
  return {
    ...room,
    outstanding: room.outstanding + (isLocal ? 1 : 0),
    freeSlots: Math.max(0, room.freeSlots - 1),
    remoteFreeSlots: isLocal ? room.remoteFreeSlots : room.remoteFreeSlots - 1,
    ownOutstanding: room.ownOutstanding + 1,
  };
}

/**
 * Requests per millisecond for which room comes free at this daemon. The targets' slots are divided
 * among the daemons as their requests are, and each request leaves after one service time and its
 * wait at the target.
 */
export function releaseRateOf(room: Room): number {
  const { slots, outstanding, ownOutstanding, serviceMilliseconds } = room;
  const rounds = Math.max(1, outstanding / Math.max(1, slots));
  return Math.max(1, ownOutstanding) / (Math.max(1, serviceMilliseconds) * rounds);
}
