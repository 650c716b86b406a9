/**
 * The daemons of the fleet as this one hears them. Members of the own region are heard by
 * heartbeats; of other regions only addresses are kept, for daemons that start.
 */
import type { Clock, Logger } from '@cactusrun/core';
import type { PeerDescription } from './PeerMessage.js';

/** Missed heartbeats after which a member is taken for gone. */
const MISSED_BEATS = 4;
export const BEAT_MILLISECONDS = 600;
const SILENT_MILLISECONDS = MISSED_BEATS * BEAT_MILLISECONDS;
/** Addresses kept of daemons that may or may not run. */
const KEPT_ADDRESSES = 400;

export interface Member {
  readonly description: PeerDescription;
  readonly heardAt: number;
}

export default class FleetMembers {
  private readonly members = new Map<string, Member>();

  private readonly addresses = new Set<string>();

  constructor(
    private readonly self: () => PeerDescription,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onGone: (name: string) => void,
  ) {}

  /** Notes a daemon's description of itself; returns whether the sender was not known before. */
  public hear(description: PeerDescription): boolean {
    const { name, region } = this.self();
    this.rememberAddresses([description.address]);
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
    this.members.set(description.name, { description, heardAt: this.clock.now() });
    return isNew;
  }

  /** Notes a sign of life; returns whether its sender is known. */
  public hearBeat(name: string, incarnation: number): boolean {
    const known = this.members.get(name);
    if (known === undefined || known.description.incarnation !== incarnation) return false;
    this.members.set(name, { ...known, heardAt: this.clock.now() });
    return true;
  }

  public rememberAddresses(addresses: readonly string[]): void {
    addresses
      .filter((address) => address !== this.self().address)
      .forEach((address) => {
        this.addresses.delete(address);
        this.addresses.add(address);
      });
    [...this.addresses]
      .slice(0, Math.max(0, this.addresses.size - KEPT_ADDRESSES))
      .forEach((old) => {
        this.addresses.delete(old);
      });
  }

  /** Every address that was ever told, newest last. */
  public listAddresses(): readonly string[] {
    return [...this.addresses];
  }

  /** Drops members that are silent. */
  public expire(): void {
    const now = this.clock.now();
    [...this.members.values()]
      .filter(({ heardAt }) => now - heardAt > SILENT_MILLISECONDS)
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

  public get(name: string): Member | undefined {
    return this.members.get(name);
  }

  /** All daemons of the own region, this one with them. */
  public region(): readonly PeerDescription[] {
    return [this.self(), ...this.live().map(({ description }) => description)];
  }

  /** Daemons of the whole fleet, as far as known; at least the own region's. */
  public countFleet(): number {
    return Math.max(this.members.size + 1, this.addresses.size + 1);
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
