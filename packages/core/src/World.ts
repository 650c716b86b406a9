/** A machine of the system: one daemon runs on each. */
export interface Host {
  /** The name from the settings, the same after a replacement. */
  readonly name: string;
  /** Distinguishes the daemon from any earlier one under the same name and addresses. */
  readonly incarnation: string;
  readonly zone: string;
  readonly region: string;
  /** `ip:port` where callers connect. */
  readonly callerAddress: string;
  /** `ip:port` of the service for other daemons (TCP). */
  readonly peerAddress: string;
  /** `ip:port` of the heartbeats (UDP). */
  readonly heartbeatAddress: string;
}

/** One process of a service, in front of which the system stands. */
export interface Target {
  readonly name: string;
  /** `ip:port`. */
  readonly address: string;
  readonly zone: string;
}

/** Whether running a request of this kind twice does harm. */
export type RequestClass = 'idempotent' | 'non-idempotent';

/** Which requests wait behind which when slots are short. */
export type Priority = 'high' | 'normal' | 'low';

/** A rule that names a service for a request. */
export interface Route {
  /** Host name that the request must carry, or `*`. */
  readonly host: string;
  readonly pathPrefix: string;
  /** Methods, or empty for all of them. */
  readonly methods: readonly string[];
  readonly requestClass: RequestClass;
  readonly priority: Priority;
  /** Counts against the contract's deposits per order window. */
  readonly isDeposit: boolean;
}

/** How a service trades detection time against false ejections. */
export type EjectionCaution = 'swift' | 'balanced' | 'careful';

/** What an operator states about one service. */
export interface Contract {
  readonly service: string;
  /** The caller organisation's named space to which the routes belong. */
  readonly workspace: string;
  /** The region of the targets. */
  readonly region: string;
  readonly slotsPerTarget: number;
  readonly connectionsPerSlot: number;
  /** Deposits that may start in one order window, fleet-wide; 0 for no limit. */
  readonly depositsPerOrderWindow: number;
  readonly orderWindowMilliseconds: number;
  /** Percent of the targets that must not be ejected. */
  readonly floorPercent: number;
  /** Longest time a request may take, end to end. */
  readonly deadlineMilliseconds: number;
  /** Percent of fresh requests that may be retried or hedged. */
  readonly retryBudgetPercent: number;
  readonly caution: EjectionCaution;
  readonly targets: readonly Target[];
  readonly routes: readonly Route[];
}

/** The number of targets that the contract's floor keeps in work. */
export function floorOf(contract: Pick<Contract, 'floorPercent' | 'targets'>): number {
  return Math.ceil((contract.targets.length * contract.floorPercent) / 100);
}
