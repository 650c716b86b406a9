/** A machine that runs one daemon. */
export interface Host {
  /** The name from the settings; a replacement host keeps it. */
  readonly name: string;
  /** Distinguishes the daemon from earlier ones with the same name and addresses. */
  readonly incarnation: string;
  readonly zone: string;
  readonly region: string;
  /** `ip:port` where callers connect. */
  readonly callerAddress: string;
  /** `ip:port` of the service for other daemons (TCP). */
  readonly peerAddress: string;
  /** `ip:port` for heartbeats (UDP). */
  readonly heartbeatAddress: string;
}

/** One process of a service to which the daemons forward requests. */
export interface Target {
  readonly name: string;
  /** `ip:port`. */
  readonly address: string;
  readonly zone: string;
}

/** Whether a request may safely run more than once. */
export type RequestClass = 'idempotent' | 'non-idempotent';

/** The order in which queued requests get free slots. */
export type Priority = 'high' | 'normal' | 'low';

/** A rule that maps requests to a service. */
export interface Route {
  /** Host name that the request must have, or `*` for any. */
  readonly host: string;
  readonly pathPrefix: string;
  /** Methods that match; empty for all. */
  readonly methods: readonly string[];
  readonly requestClass: RequestClass;
  readonly priority: Priority;
  /** Whether requests count against the contract's deposits per order window. */
  readonly isDeposit: boolean;
}

/** How a service trades detection time against false ejections. */
export type EjectionCaution = 'swift' | 'balanced' | 'careful';

/** The configuration of one service. */
export interface Contract {
  readonly service: string;
  /** The caller organisation's namespace for the routes. */
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
  /** Maximum duration of a request, end to end. */
  readonly deadlineMilliseconds: number;
  /** Retries and hedged attempts that are allowed, as a percentage of new requests. */
  readonly retryBudgetPercent: number;
  readonly caution: EjectionCaution;
  readonly targets: readonly Target[];
  readonly routes: readonly Route[];
}

/** The number of targets that must not be ejected under the contract's floor. */
export function floorOf(contract: Pick<Contract, 'floorPercent' | 'targets'>): number {
  return Math.ceil((contract.targets.length * contract.floorPercent) / 100);
}
