/**
 * Admits requests to the targets of their service. Beside free slots nothing waits; otherwise a
 * request waits briefly or is refused with the time at which to return. What waits is decided again
 * when a request of this daemon ends, and on a timer, since the report of a peer may be lost.
 */
import type { Clock, Counters, Logger, Random } from '@cactusrun/core';
import AdmissionLog from './AdmissionLog.js';
import type { AdmissionQuery, AdmissionResult } from './AdmissionQuery.js';
import ReturnSchedule from './ReturnSchedule.js';
import type { Room } from './Room.js';
import { releaseRateOf } from './Room.js';
import type { Decision, WaitingRequest } from './ServiceAdmission.js';
import ServiceAdmission from './ServiceAdmission.js';
import type ServiceRoom from './ServiceRoom.js';

/** Waiting requests are decided again after this long, whatever is heard. */
const RECHECK_MILLISECONDS = 20;

const ADMITTED: AdmissionResult = { kind: 'admitted', needsFreeSlot: false };

export interface RequestAdmissionParts {
  readonly rooms: Pick<ServiceRoom, 'roomOf' | 'hasFreeSlot'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
}

interface ServiceState {
  readonly admission: ServiceAdmission;
  readonly returns: ReturnSchedule;
  readonly settlers: Map<WaitingRequest, (result: AdmissionResult) => void>;
}

export default class RequestAdmission {
  private readonly services = new Map<string, ServiceState>();

  /** Cancels the timer of each service for which requests wait. */
  private readonly timers = new Map<string, () => void>();

  private readonly log: AdmissionLog;

  constructor(private readonly parts: RequestAdmissionParts) {
    this.log = new AdmissionLog(parts);
  }

  /** Waits until the request is admitted, refused, or left by its caller. */
  public async admit(query: AdmissionQuery): Promise<AdmissionResult> {
    const { rooms, clock } = this.parts;
    const state = this.stateOf(query.service);
    if (state.admission.size === 0 && rooms.hasFreeSlot(query.service)) {
      state.admission.admitAtOnce(query, clock.now());
      return ADMITTED;
    }
    return new Promise((resolve) => {
      this.enqueue(query, state, resolve);
      this.decide(query.service);
    });
  }

  /** Decides again on what waits for the service, after a request of this daemon ended there. */
  public recheck(service: string): void {
    const isWaiting = (this.services.get(service)?.admission.size ?? 0) > 0;
    if (isWaiting) this.decide(service);
  }

  /** The time after which a caller should return that no target can serve in time, in milliseconds. */
  public promiseReturn(service: string, deadline: number): number {
    const room = this.parts.rooms.roomOf(service);
    return this.promiseIn(this.stateOf(service), room, deadline);
  }

  private enqueue(
    query: AdmissionQuery,
    state: ServiceState,
    resolve: (result: AdmissionResult) => void,
  ): void {
    const { clock } = this.parts;
    const request = state.admission.add(query, clock.now());
    const leave = () => {
      state.admission.cancel(request, clock.now());
      state.settlers.delete(request);
      resolve({ kind: 'cancelled' });
    };
    query.signal.addEventListener('abort', leave, { once: true });
    state.settlers.set(request, (result) => {
      query.signal.removeEventListener('abort', leave);
      state.settlers.delete(request);
      resolve(result);
    });
  }

  private decide(service: string): void {
    const state = this.stateOf(service);
    const room = this.parts.rooms.roomOf(service);
    state.admission
      .decide(room, this.parts.clock.now())
      .forEach((decision) => this.settle(state, room, decision));
    this.log.recordWaiting(this.waitingCount);
    this.planRecheck(service, state);
  }

  private settle(state: ServiceState, room: Room, decision: Decision): void {
    const { request } = decision;
    const settle = state.settlers.get(request);
    if (decision.kind === 'admitted') {
      if (this.parts.clock.now() > request.arrivedAt) this.log.recordAdmitted(request);
      settle?.({ kind: 'admitted', needsFreeSlot: decision.needsFreeSlot });
      return;
    }
    this.log.recordRefused(decision, state.admission.size);
    const freeInMilliseconds = this.promiseIn(state, room, request.query.deadline);
    settle?.({ kind: 'refused', freeInMilliseconds });
  }

  private promiseIn({ admission, returns }: ServiceState, room: Room, deadline: number): number {
    const now = this.parts.clock.now();
    const rate = releaseRateOf(room);
    return returns.promise(now, rate, (admission.size + 1) / rate, deadline - now);
  }

  private planRecheck(service: string, { admission }: ServiceState): void {
    this.timers.get(service)?.();
    this.timers.delete(service);
    if (admission.size === 0) return;
    const recheck = () => this.recheck(service);
    this.timers.set(service, this.parts.clock.after(RECHECK_MILLISECONDS, recheck));
  }

  private get waitingCount(): number {
    return [...this.services.values()].reduce((sum, { admission }) => sum + admission.size, 0);
  }

  private stateOf(service: string): ServiceState {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const state: ServiceState = {
      admission: new ServiceAdmission(),
      returns: new ReturnSchedule(this.parts.random),
      settlers: new Map(),
    };
    this.services.set(service, state);
    return state;
  }
}
