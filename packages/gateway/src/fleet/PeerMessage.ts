/** Messages that daemons send one another by datagrams. Any may be lost, delayed or duplicated. */
import type { StorePosition } from '../state/GatewayStore.js';
import type { TargetChange } from '../state/TargetEntry.js';
import type { RequestRate } from '../state/TargetStatement.js';

export type DaemonState = 'starting' | 'ready' | 'leaving';

/** A daemon as it describes itself. */
export interface PeerDescription {
  readonly name: string;
  /** Distinguishes the process from earlier ones under the same name. */
  readonly incarnation: number;
  /** `ip:port` of the datagrams and, over TCP, of the state that peers may fetch. */
  readonly address: string;
  /** `ip:port` for callers. */
  readonly callerAddress: string;
  /** `ip:port` for requests of peers that are cut off from all targets, if it takes such. */
  readonly relayAddress?: string;
  readonly zone: string;
  readonly region: string;
  readonly state: DaemonState;
  /** Whether the daemon is cut off from all targets; absent means that it is not. */
  readonly isCutOff?: boolean;
  /** Whether it authorizes relayed requests by the keys of workspaces; absent in older builds. */
  readonly authorizesCallers?: boolean;
  /** Capacity for callers' requests, from 0 to 1; a host that is large enough has 1. */
  readonly capacity: number;
}

/** The peer address of a daemon, and the region that it belongs to. */
export interface PeerAddress {
  /** `ip:port`. */
  readonly address: string;
  /** Undefined when only the address is known. */
  readonly region?: string;
}

/** A target that the sender considers unhealthy. */
export interface UnhealthyTarget {
  readonly target: string;
  /** Milliseconds since it was found unhealthy. */
  readonly ageMilliseconds: number;
}

/** What a daemon knows of the rate limit of a target. */
export interface RateLimitReport {
  readonly target: string;
  readonly rate: RequestRate;
  /** Milliseconds since the target stated it. */
  readonly ageMilliseconds: number;
}

/** A process of a target that is leaving. */
export interface LeavingTarget {
  readonly target: string;
  /** Milliseconds since the epoch at which the process started. */
  readonly bornAt: number;
}

/** The versions of the persistent data that a daemon has. */
export interface KnownVersions {
  readonly configuration: number;
  readonly targets: StorePosition;
  /** Milliseconds since the store last confirmed this, directly or through a peer. */
  readonly ageMilliseconds: number;
}

/** How an attempt ended, or that it has stalled, as evidence of the target's health. */
export type AttemptOutcome = 'good' | 'failed' | 'refused' | 'unreachable' | 'stalled' | 'dropped';

/** Whether an attempt is the first of its request or a retry. */
export type AttemptKind = 'fresh' | 'repeated';

/** The sender's requests at one target; with an outcome when an attempt has ended or stalled. */
export interface AttemptReport {
  readonly target: string;
  readonly outstanding: number;
  /** Set when an attempt starts. */
  readonly attemptKind?: AttemptKind;
  readonly outcome?: AttemptOutcome;
  /** Milliseconds from the start of that attempt to its end. */
  readonly elapsedMilliseconds?: number;
  /** Requests that the target itself reported to be running or waiting there. */
  readonly reportedRequests?: number;
  /** Rate limit that the target stated in its answer, if that is news. */
  readonly rateLimit?: RequestRate;
}

/** How many requests of a workspace a daemon or a region has sent on to targets. */
export interface WorkspaceUse {
  readonly workspace: string;
  /** All since the reporter began to count. */
  readonly count: number;
  /** Those of the last second or two, for a receiver that knows no earlier count. */
  readonly recent: number;
}

/** The process that counts uses; a later one of the same name begins at 0 again. */
export interface UseReporter {
  readonly name: string;
  readonly incarnation: number;
}

/** What a daemon counted against the quotas of workspaces since its last report. */
export interface UseReport {
  readonly incarnation: number;
  readonly uses: readonly WorkspaceUse[];
}

export type PeerMessage =
  /** A daemon describes itself when it starts, changes or discovers another. */
  | {
      readonly kind: 'hello';
      readonly sender: PeerDescription;
      /** Whether the receiver should describe itself too. */
      readonly wantsReply: boolean;
      /** Whether it should also send the addresses that it knows: the sender has no live member. */
      readonly wantsPeers: boolean;
    }
  /** Heartbeat: the sender is alive. */
  | {
      readonly kind: 'beat';
      readonly sender: string;
      readonly incarnation: number;
      readonly state: DaemonState;
      /** Whether the sender is cut off from all targets. */
      readonly isCutOff: boolean;
      /** Time until the sender's next heartbeat to the same receiver. */
      readonly pauseMilliseconds: number;
      readonly versions: KnownVersions;
      /** All outstanding requests of the sender, by target. */
      readonly outstanding: Readonly<Record<string, number>>;
      /** Filled by daemons that serve callers; the others have this only from their peers. */
      readonly unhealthy: readonly UnhealthyTarget[];
      /** Rate limits of targets; filled like `unhealthy`. */
      readonly rateLimits: readonly RateLimitReport[];
      /** Targets that stated that they are leaving; filled like `unhealthy`. */
      readonly leavingTargets: readonly LeavingTarget[];
      /** Load of callers at the sender, in the unit of its capacity; absent from older daemons. */
      readonly callerLoad?: number;
    }
  /** Daemons that the sender knows, so that all daemons discover one another. */
  | { readonly kind: 'peers'; readonly sender: string; readonly peers: readonly PeerAddress[] }
  | {
      readonly kind: 'calls';
      readonly sender: string;
      readonly reports: readonly AttemptReport[];
      /** Absent without requests of workspaces that have a quota. */
      readonly use?: UseReport;
    }
  /** What all daemons of a region counted, for the other regions. */
  | {
      readonly kind: 'region-use';
      readonly sender: string;
      readonly incarnation: number;
      readonly region: string;
      /** `ip:port` of the sender, to which the other regions may address theirs. */
      readonly address: string;
      /** Number of the message among those of the sender. */
      readonly number: number;
      /** Part of the region's daemons, from 0 to 1, for which the sender speaks. */
      readonly part: number;
      readonly uses: readonly WorkspaceUse[];
    }
  /** Update: what a read of the store returned. */
  | {
      readonly kind: 'news';
      readonly sender: string;
      readonly versions: KnownVersions;
      /** The position that the changes follow. */
      readonly after: StorePosition;
      readonly changes: readonly TargetChange[];
    }
  /** Targets that stated that they are leaving. */
  | {
      readonly kind: 'leaving-targets';
      readonly sender: string;
      readonly leavingTargets: readonly LeavingTarget[];
    }
  /** A request broke the connections to this many targets. */
  | {
      readonly kind: 'crash';
      readonly sender: string;
      readonly fingerprint: string;
      readonly crashes: number;
    };

export type PeerMessageKind = PeerMessage['kind'];
