/**
 * The room of a service's targets, from the requests that the region's daemons have there, the loads
 * that targets report and the health estimates. Targets that are held unhealthy, that this daemon
 * does not reach or that take nothing now give no room.
 */
import type { Clock } from '@cactusrun/core';
import type TargetAdmission from '../limits/TargetAdmission.js';
import type OutstandingRequests from '../placement/OutstandingRequests.js';
import type ServiceTimes from '../placement/ServiceTimes.js';
import type { KnownTarget } from '../state/TargetTable.js';
import type TargetTable from '../state/TargetTable.js';
import RemoteRoom from './RemoteRoom.js';
import type { Room } from './Room.js';

/** From this probability on a target counts as unhealthy. */
const UNHEALTHY_PROBABILITY = 0.5;

export interface ServiceRoomParts {
  readonly targets: Pick<TargetTable, 'usable'>;
  readonly outstanding: OutstandingRequests;
  readonly serviceTimes: Pick<ServiceTimes, 'meanOf'>;
  readonly targetAdmission: Pick<TargetAdmission, 'denialOf'>;
  readonly reachability: { readonly isCutOff: boolean };
  /** Whether targets of the availability zone are in the region of this daemon. */
  readonly isSameRegion: (zone: string) => boolean;
  readonly clock: Clock;
}

export default class ServiceRoom {
  private readonly remoteRoom: RemoteRoom;

  constructor(private readonly parts: ServiceRoomParts) {
    this.remoteRoom = new RemoteRoom(parts.outstanding);
  }

  /** Whether a sound target of this region has a free slot. */
  public hasFreeSlot(service: string): boolean {
    const now = this.parts.clock.now();
    return this.parts.targets
      .usable(service)
      .some(
        (target) =>
          this.isLocal(target) && this.freeAt(target, now) > 0 && this.isSound(target, now),
      );
  }

  public roomOf(service: string): Room {
    const { targets, outstanding, serviceTimes, reachability, clock } = this.parts;
    const now = clock.now();
    const usable = targets.usable(service).filter((target) => this.isAvailable(target, now));
    const sound = usable.filter((target) => isHealthy(target, now));
    const local = sound.filter((target) => this.isLocal(target));
    const remote = sound.filter((target) => !this.isLocal(target));
    const tellsLoad = sound.some(
      ({ entry }) => outstanding.reportedCountAt(entry.id, Number.NEGATIVE_INFINITY) !== undefined,
    );
    return {
      slots: sum(local, ({ entry }) => entry.slots),
      outstanding: sum(local, ({ entry }) => outstanding.countAt(entry.id, now)),
      freeSlots: sum(local, (target) => this.freeAt(target, now)),
      remoteFreeSlots:
        remote.length === 0 ? 0 : this.remoteRoom.freeSlots(service, remote, tellsLoad, now),
      ownOutstanding: sum(usable, ({ entry }) => outstanding.ownAt(entry.id)),
      serviceMilliseconds: serviceTimes.meanOf(service),
      isOpen: reachability.isCutOff || sound.length === 0,
    };
  }

  private isSound(target: KnownTarget, now: number): boolean {
    return this.isAvailable(target, now) && isHealthy(target, now);
  }

  private isAvailable({ blockedUntil, entry }: KnownTarget, now: number): boolean {
    return blockedUntil <= now && this.parts.targetAdmission.denialOf(entry) === undefined;
  }

  private isLocal({ entry }: KnownTarget): boolean {
    return this.parts.isSameRegion(entry.zone);
  }

  /** Whole slots without a request. */
  private freeAt({ entry }: KnownTarget, now: number): number {
    return Math.max(0, Math.floor(entry.slots - this.parts.outstanding.countAt(entry.id, now)));
  }
}

function isHealthy({ healthEstimate }: KnownTarget, now: number): boolean {
  return healthEstimate.unhealthyProbabilityAt(now) < UNHEALTHY_PROBABILITY;
}

function sum(targets: readonly KnownTarget[], valueOf: (target: KnownTarget) => number): number {
  return targets.reduce((total, target) => total + valueOf(target), 0);
}
