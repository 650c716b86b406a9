/** Contract of a service with model targets, and the attempts that are sent to it. */
import type { Contract, EjectionCaution } from '@cactusrun/core';
import type { Attempt } from '@cactusrun/requests';

export interface ModelServiceShape {
  readonly targets: number;
  readonly slots: number;
  readonly floorPercent: number;
  readonly deadlineMilliseconds: number;
  readonly retryBudgetPercent: number;
  readonly caution: EjectionCaution;
}

export function modelContract(shape: ModelServiceShape): Contract {
  return {
    service: 'service',
    workspace: 'default',
    region: 'west',
    slotsPerTarget: shape.slots,
    connectionsPerSlot: 1,
    depositsPerOrderWindow: 0,
    orderWindowMilliseconds: 60_000,
    floorPercent: shape.floorPercent,
    deadlineMilliseconds: shape.deadlineMilliseconds,
    retryBudgetPercent: shape.retryBudgetPercent,
    caution: shape.caution,
    targets: Array.from({ length: shape.targets }, (_, index) => ({
      name: `target-${index}`,
      address: `127.0.1.${index + 1}:9000`,
      zone: 'west-a',
    })),
    routes: [],
  };
}

/** An idempotent lookup; the deadline is monotonic time. */
export function modelAttempt(requestNumber: number, callerZone: string, deadline: number): Attempt {
  return {
    service: 'service',
    shard: 'shard',
    method: 'GET',
    path: '/',
    headers: [],
    body: { head: Buffer.alloc(0), isWhole: true },
    requestClass: 'idempotent',
    priority: 'normal',
    isDeposit: false,
    fingerprint: `request-${requestNumber}`,
    callerZone,
    deadline,
    signal: new AbortController().signal,
  };
}
