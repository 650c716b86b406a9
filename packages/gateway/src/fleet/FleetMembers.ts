/**
 * The daemons of the fleet as known to this one. Members of the own region are tracked by
 * heartbeats, each of which states when the next one is due; of other regions only addresses are kept, to give to daemons that start.
 */
import type { Clock, Logger } from '@cactusrun/core';
import type { DaemonState, PeerAddress, PeerDescription } from './PeerMessage.js';

/** Number of missed heartbeats after which a member is removed. */
const MISSED_HEARTBEATS = 4;
/** Interval of the heartbeats of a daemon that callers are directed to, or would be next. */
export const HEARTBEAT_INTERVAL_MILLISECONDS = 600;
/** Timeout for a member whose heartbeats are expected at this interval. */
const CRITICAL_TIMEOUT_MILLISECONDS = MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_MILLISECONDS;
/** Timeouts until a heartbeat states its interval, for members of the own zone and of others. */
const ZONE_TIMEOUT_MILLISECONDS = 10_000;
const REMOTE_TIMEOUT_MILLISECONDS = 60_000;
/**
 * A member that sends this many reports within this time is active and needs the reports of peers;
 * fewer are stray requests.
 */
const ACTIVE_REPORT_COUNT = 4;
const ACTIVE_WINDOW_MILLISECONDS = 3_000;
/** Number of daemon addresses to keep, whether or not the daemons run: twice the largest fleet. */
const MAXIMUM_ADDRESSES = 4_400;
/** A member that was lost more recently may still run, on the other side of a partition. */
const RECENTLY_LOST_MILLISECONDS = 60_000;

export interface Member {
  readonly description: PeerDescription;
  readonly lastSeenAt: number;
  /** Time without a message after which the member is removed. */
  readonly timeoutMilliseconds: number;
  /** Load of callers there, in the unit of its capacity; undefined if it does not tell. */
  readonly callerLoad?: number;
}

/** The part of a heartbeat that describes its sender. */
export interface MemberHeartbeat {
  readonly sender: string;
  readonly incarnation: number;
  readonly state: DaemonState;
  /** Whether the sender is cut off from all targets. */
  readonly isCutOff: boolean;
  /** Time until the sender's next heartbeat. */
  readonly pauseMilliseconds: number;
  /** Load of callers at the sender, in the unit of its capacity. */
  readonly callerLoad?: number;
}

export default class FleetMembers {
  private readonly members = new Map<string, Member>();

  /** Region of each daemon of the fleet by address, most recent last; undefined if unknown. */
  private readonly regionByAddress = new Map<string, string | undefined>();

  /** Monotonic times of the latest reports from each member, oldest first. */
  private readonly reportTimes = new Map<string, readonly number[]>();

  /** Monotonic time at which each member was removed that has not been heard since. */
  private readonly lostAt = new Map<string, number>();

  constructor(
    private readonly self: () => PeerDescription,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onRemoved: (name: string) => void,
  ) {}

  /** Applies a daemon's description of itself; returns whether the daemon was unknown before. */
  public applyDescription(description: PeerDescription): boolean {
    const { name, region } = this.self();
    this.addAddresses([description]);
    if (description.name === name || description.region !== region) return false;
    const current = this.members.get(description.name);
    if (current !== undefined && current.description.incarnation > description.incarnation) {
      return false;
    }
    const isNew = current?.description.incarnation !== description.incarnation;
    if (isNew && current !== undefined) this.onRemoved(description.name);
    const isChanged =
      current?.description.state !== description.state ||
      current?.description.isCutOff !== description.isCutOff;
    if (isNew || isChanged) {
      this.logger.info('member-seen', {
        member: description.name,
        incarnation: description.incarnation,
        state: description.state,
        isCutOff: description.isCutOff,
      });
    }
    this.lostAt.delete(description.name);
    this.members.set(description.name, {
      ...(isNew ? {} : current),
      description,
      lastSeenAt: this.clock.now(),
      timeoutMilliseconds:
        isNew || current === undefined
          ? this.initialTimeout(description)
          : current.timeoutMilliseconds,
    });
    return isNew;
  }

  private initialTimeout({ zone }: PeerDescription): number {
    return zone === this.self().zone ? ZONE_TIMEOUT_MILLISECONDS : REMOTE_TIMEOUT_MILLISECONDS;
  }

  /** Applies a heartbeat; returns whether the sender's description here is current. */
  public applyHeartbeat(heartbeat: MemberHeartbeat): boolean {
    const { sender: name, incarnation, state, isCutOff, pauseMilliseconds, callerLoad } = heartbeat;
    const current = this.members.get(name);
    if (current === undefined || current.description.incarnation !== incarnation) return false;
    this.members.set(name, {
      ...current,
      lastSeenAt: this.clock.now(),
      timeoutMilliseconds: pauseMilliseconds * MISSED_HEARTBEATS,
      ...(callerLoad === undefined ? {} : { callerLoad }),
    });
    const isKnownCutOff = current.description.isCutOff === true;
    return current.description.state === state && isKnownCutOff === isCutOff;
  }

  /** Adds addresses of daemons; returns those in the own or an unknown region that are not live. */
  public addAddresses(addresses: readonly PeerAddress[]): readonly string[] {
    const { address: own, region: ownRegion } = this.self();
    const others = addresses.filter(({ address }) => address !== own);
    others.forEach(({ address, region }) => {
      const knownRegion = region ?? this.regionByAddress.get(address);
      this.regionByAddress.delete(address);
      this.regionByAddress.set(address, knownRegion);
    });
    [...this.regionByAddress.keys()]
      .slice(0, Math.max(0, this.regionByAddress.size - MAXIMUM_ADDRESSES))
      .forEach((oldest) => {
        this.regionByAddress.delete(oldest);
      });
    return this.withoutLive(
      others.filter(({ region }) => region === undefined || region === ownRegion),
    );
  }

  /** All known addresses, most recent last. */
  public knownAddresses(): readonly PeerAddress[] {
    return [...this.regionByAddress].map(([address, region]) => ({
      address,
      ...(region === undefined ? {} : { region }),
    }));
  }

  /** Addresses in the own or an unknown region that are not live. */
  public silentAddresses(): readonly string[] {
    const { region: own } = this.self();
    return this.withoutLive(
      this.knownAddresses().filter(({ region }) => region === undefined || region === own),
    );
  }

  private withoutLive(peers: readonly PeerAddress[]): readonly string[] {
    const live = new Set(this.liveAddresses());
    return peers.map(({ address }) => address).filter((address) => !live.has(address));
  }

  /** Records that a member reported attempts of its own. */
  public recordReport(name: string): void {
    const times = this.reportTimes.get(name) ?? [];
    this.reportTimes.set(name, [...times.slice(1 - ACTIVE_REPORT_COUNT), this.clock.now()]);
  }

  /** Whether the member has sent several reports recently. */
  public isActive(name: string): boolean {
    const times = this.reportTimes.get(name) ?? [];
    const [oldest] = times;
    if (oldest === undefined || times.length < ACTIVE_REPORT_COUNT) return false;
    return this.clock.now() - oldest < ACTIVE_WINDOW_MILLISECONDS;
  }

  /**
   * Removes members whose heartbeats have timed out.
   *
   * @param criticalSince - monotonic times since which members are expected to send heartbeats often
   */
  public expire(criticalSince: ReadonlyMap<string, number>): void {
    const now = this.clock.now();
    const hasTimedOut = ({ description, lastSeenAt, timeoutMilliseconds }: Member) => {
      if (now - lastSeenAt > timeoutMilliseconds) return true;
      const since = criticalSince.get(description.name);
      if (since === undefined) return false;
      return now - Math.max(since, lastSeenAt) > CRITICAL_TIMEOUT_MILLISECONDS;
    };
    [...this.members.values()].filter(hasTimedOut).forEach(({ description, lastSeenAt }) => {
      this.members.delete(description.name);
      this.lostAt.set(description.name, now);
      this.logger.warn('member-silent', {
        member: description.name,
        incarnation: description.incarnation,
        ageMilliseconds: Math.round(now - lastSeenAt),
      });
      this.onRemoved(description.name);
    });
  }

  /** The other live members of the own region. */
  public live(): readonly Member[] {
    return [...this.members.values()];
  }

  /** Number of other live members of the own region. */
  public countLive(): number {
    return this.members.size;
  }

  /** Number of members that were lost recently and may still run. */
  public countRecentlyLost(): number {
    const oldest = this.clock.now() - RECENTLY_LOST_MILLISECONDS;
    [...this.lostAt].filter(([, at]) => at < oldest).forEach(([name]) => this.lostAt.delete(name));
    return this.lostAt.size;
  }

  public liveAddresses(): readonly string[] {
    return this.live().map(({ description }) => description.address);
  }

  /** Addresses of the live members of the own availability zone. */
  public zoneAddresses(): readonly string[] {
    const { zone } = this.self();
    return this.live()
      .filter(({ description }) => description.zone === zone)
      .map(({ description }) => description.address);
  }

  /** Addresses of the live members and this daemon, to send to peers. */
  public liveAndSelf(): readonly PeerAddress[] {
    return this.regionMembers().map(({ address, region }) => ({ address, region }));
  }

  /** All known addresses and that of this daemon, to send to daemons that start. */
  public knownAndSelf(): readonly PeerAddress[] {
    const { address, region } = this.self();
    return [...this.knownAddresses(), { address, region }];
  }

  public get(name: string): Member | undefined {
    return this.members.get(name);
  }

  /** All live daemons of the own region, with this one first. */
  public regionMembers(): readonly PeerDescription[] {
    return [this.self(), ...this.live().map(({ description }) => description)];
  }

  /** Number of known daemons of the whole fleet, at least those of the own region. */
  public countFleet(): number {
    return Math.max(this.members.size + 1, this.regionByAddress.size + 1);
  }

  /** Rank of this daemon among those of its region that may read the store for all; 0 is first. */
  public rank(): number {
    const self = this.self();
    return this.live().filter(
      ({ description }) =>
        description.state === 'ready' && (self.state !== 'ready' || description.name < self.name),
    ).length;
  }
}
