/** What daemons tell one another by datagrams. Any of them may be lost, late or repeated. */
import type { StorePosition } from './GatewayStore.js';
import type { TargetChange } from './TargetEntry.js';

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
  readonly zone: string;
  readonly region: string;
  readonly state: DaemonState;
  /** Capacity for callers' requests, from 0 to 1: that of a host which is large enough. */
  readonly capacity: number;
}

/** Where a daemon is heard, and the region that it belongs to. */
export interface PeerAddress {
  /** `ip:port`. */
  readonly address: string;
  /** Undefined when only the address is known. */
  readonly region?: string;
}

/** A target that the sender takes for sick. */
export interface SickTarget {
  readonly target: string;
  /** Milliseconds since it was found sick. */
  readonly ageMilliseconds: number;
}

/** What a daemon knows of the things that last. */
export interface KnownVersions {
  readonly configuration: number;
  readonly targets: StorePosition;
  /** Milliseconds since the store last confirmed this, directly or through a peer. */
  readonly ageMilliseconds: number;
}

/** How one request to a target ended, or that it has stalled, as evidence on the target. */
export type CallOutcome = 'good' | 'failed' | 'refused' | 'unreachable' | 'stalled' | 'dropped';

/** How a sending of a request begins. */
export type CallBeginning = 'fresh' | 'repeated';

/** One target and the sender's requests there; with an outcome when a request has just ended. */
export interface CallReport {
  readonly target: string;
  readonly outstanding: number;
  /** Set when a request is sent: whether it is so for the first time. */
  readonly begins?: CallBeginning;
  readonly outcome?: CallOutcome;
  /** Milliseconds from the start of that request to its end. */
  readonly elapsed?: number;
  /** Requests that the target itself said it holds. */
  readonly there?: number;
}

export type PeerMessage =
  /** A daemon describes itself, when it comes, changes or meets another. */
  | {
      readonly kind: 'hello';
      readonly sender: PeerDescription;
      /** Whether the receiver should describe itself too. */
      readonly wantsReply: boolean;
    }
  /** The sender lives. */
  | {
      readonly kind: 'beat';
      readonly sender: string;
      readonly incarnation: number;
      readonly state: DaemonState;
      /** Time until the sender's next heartbeat to the same receiver. */
      readonly pauseMilliseconds: number;
      readonly versions: KnownVersions;
      /** All requests of the sender, by target. */
      readonly outstanding: Readonly<Record<string, number>>;
      /** Told by daemons that serve callers; the others only know what they were told. */
      readonly sick: readonly SickTarget[];
    }
  /** Daemons that the sender knows, so that all come to know one another. */
  | { readonly kind: 'peers'; readonly sender: string; readonly peers: readonly PeerAddress[] }
  | {
      readonly kind: 'calls';
      readonly sender: string;
      readonly reports: readonly CallReport[];
    }
  /** What a read of the store brought. */
  | {
      readonly kind: 'news';
      readonly sender: string;
      readonly versions: KnownVersions;
      /** The position that the changes follow. */
      readonly after: StorePosition;
      readonly changes: readonly TargetChange[];
    }
  /** A request broke the connections of this many targets. */
  | {
      readonly kind: 'crash';
      readonly sender: string;
      readonly fingerprint: string;
      readonly crashes: number;
    };

export type PeerMessageKind = PeerMessage['kind'];
