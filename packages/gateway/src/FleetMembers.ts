/**
 * The daemons of the fleet as this one hears them. Members of the own region are heard by
 * heartbeats; of other regions only addresses are kept, for daemons that start.
 */
import type { Clock, Logger } from '@cactusrun/core';
import type { DaemonState, PeerAddress, PeerDescription } from './PeerMessage.js';

/** Missed heartbeats after which a member is taken for gone. */
const MISSED_BEATS = 4;
/** Pause between two heartbeats to the own availability zone, and between daemons that serve. */
export const BEAT_MILLISECONDS = 600;
/** Every this many heartbeats one goes to the other members, whose failure nothing urgent rests on. */
export const REMOTE_BEATS = 4;
/** A member of another zone is awaited for this long until it has said how often it is to be heard. */
const REMOTE_LEASE_MILLISECONDS = MISSED_BEATS * REMOTE_BEATS * BEAT_MILLISECONDS;
const NEAR_LEASE_MILLISECONDS = MISSED_BEATS * BEAT_MILLISECONDS;
/** A member that tells of this many requests within this time needs evidence; fewer are strays. */
const ACTIVE_REPORTS = 4;
const ACTIVE_MILLISECONDS = 3_000;
/** Addresses kept of daemons that may or may not run. */
const KEPT_ADDRESSES = 400;

export interface Member {
  readonly description: PeerDescription;
  readonly heardAt: number;
  /** Time without a word after which the member is taken for gone. */
  readonly leaseMilliseconds: number;
}

/** What a heartbeat says of its sender. */
export interface MemberBeat {
  readonly sender: string;
  readonly incarnation: number;
  readonly state: DaemonState;
  /** Time until the sender's next one. */
  readonly pauseMilliseconds: number;
}

export default class FleetMembers {
  private readonly members = new Map<string, Member>();

  /** Region of each daemon that was ever told of, by address; the newest last. */
  private readonly peers = new Map<string, string | undefined>();

  /** Monotonic times of the last reports of each member, oldest first. */
  private readonly reportedAt = new Map<string, readonly number[]>();

  constructor(
    private readonly self: () => PeerDescription,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onGone: (name: string) => void,
  ) {}

  /** Notes a daemon's description of itself; returns whether the sender was not known before. */
  public hear(description: PeerDescription): boolean {
    const { name, region } = this.self();
    this.remember([description]);
    if (description.name === name || description.region !== region) return false;
    const known = this.members.get(description.name);
    if (known !== undefined && known.description.incarnation > description.incarnation) {
      return false;
    }
    const isNew = known?.description.incarnation !== description.incarnation;
    if (isNew && known !== undefined) this.onGone(description.name);
    if (isNew || known?.description.state !== description.state) {
      this.logger.info('member-seen', {
        member: description.name,
        incarnation: description.incarnation,
        state: description.state,
      });
    }
    this.members.set(description.name, {
      description,
      heardAt: this.clock.now(),
      leaseMilliseconds:
        isNew || known === undefined ? this.firstLease(description) : known.leaseMilliseconds,
    });
    return isNew;
  }

  private firstLease({ zone }: PeerDescription): number {
    return zone === this.self().zone ? NEAR_LEASE_MILLISECONDS : REMOTE_LEASE_MILLISECONDS;
  }

  /** Notes a sign of life; returns whether the sender is known as it describes itself now. */
  public hearBeat(beat: MemberBeat): boolean {
    const { sender: name, incarnation, state, pauseMilliseconds } = beat;
    const known = this.members.get(name);
    if (known === undefined || known.description.incarnation !== incarnation) return false;
    this.members.set(name, {
      ...known,
      heardAt: this.clock.now(),
      leaseMilliseconds: pauseMilliseconds * MISSED_BEATS,
    });
    return known.description.state === state;
  }

  /** Keeps addresses of daemons; returns those in the own region, or anywhere, that are not live. */
  public remember(told: readonly PeerAddress[]): readonly string[] {
    const { address: own, region: ownRegion } = this.self();
    const others = told.filter(({ address }) => address !== own);
    others.forEach(({ address, region }) => {
      const known = region ?? this.peers.get(address);
      this.peers.delete(address);
      this.peers.set(address, known);
    });
    [...this.peers.keys()]
      .slice(0, Math.max(0, this.peers.size - KEPT_ADDRESSES))
      .forEach((old) => {
        this.peers.delete(old);
      });
    return this.notLive(
      others.filter(({ region }) => region === undefined || region === ownRegion),
    );
  }

  /** Every daemon that was ever told of, newest last. */
  public known(): readonly PeerAddress[] {
    return [...this.peers].map(([address, region]) => ({
      address,
      ...(region === undefined ? {} : { region }),
    }));
  }

  /** Addresses of the own region, or of none known, from which nothing is heard. */
  public lost(): readonly string[] {
    const { region: own } = this.self();
    return this.notLive(
      this.known().filter(({ region }) => region === undefined || region === own),
    );
  }

  private notLive(peers: readonly PeerAddress[]): readonly string[] {
    const live = new Set(this.liveAddresses());
    return peers.map(({ address }) => address).filter((address) => !live.has(address));
  }

  /** A member told of a request of its own. */
  public noteReport(name: string): void {
    const times = this.reportedAt.get(name) ?? [];
    this.reportedAt.set(name, [...times.slice(1 - ACTIVE_REPORTS), this.clock.now()]);
  }

  /** Whether the member has sent several requests of late. */
  public isActive(name: string): boolean {
    const times = this.reportedAt.get(name) ?? [];
    const [oldest] = times;
    if (oldest === undefined || times.length < ACTIVE_REPORTS) return false;
    return this.clock.now() - oldest < ACTIVE_MILLISECONDS;
  }

  /** Drops members that are silent. */
  public expire(): void {
    const now = this.clock.now();
    [...this.members.values()]
      .filter(({ heardAt, leaseMilliseconds }) => now - heardAt > leaseMilliseconds)
      .forEach(({ description, heardAt }) => {
        this.members.delete(description.name);
        this.logger.warn('member-silent', {
          member: description.name,
          incarnation: description.incarnation,
          ageMilliseconds: Math.round(now - heardAt),
        });
        this.onGone(description.name);
      });
  }

  /** The other live members of the own region. */
  public live(): readonly Member[] {
    return [...this.members.values()];
  }

  public liveAddresses(): readonly string[] {
    return this.live().map(({ description }) => description.address);
  }

  /** Addresses of the live members of the own availability zone. */
  public nearAddresses(): readonly string[] {
    const { zone } = this.self();
    return this.live()
      .filter(({ description }) => description.zone === zone)
      .map(({ description }) => description.address);
  }

  /** The live members and this daemon, as peers are told of them. */
  public liveAndSelf(): readonly PeerAddress[] {
    return this.region().map(({ address, region }) => ({ address, region }));
  }

  public get(name: string): Member | undefined {
    return this.members.get(name);
  }

  /** All daemons of the own region, this one with them. */
  public region(): readonly PeerDescription[] {
    return [this.self(), ...this.live().map(({ description }) => description)];
  }

  /** Daemons of the whole fleet, as far as known; at least the own region's. */
  public countFleet(): number {
    return Math.max(this.members.size + 1, this.peers.size + 1);
  }

  /** Place of this daemon among those of the region that may read the store for all; 0 is first. */
  public rank(): number {
    const self = this.self();
    return this.live().filter(
      ({ description }) =>
        description.state === 'ready' && (self.state !== 'ready' || description.name < self.name),
    ).length;
  }
}
