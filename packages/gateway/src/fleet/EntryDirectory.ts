/**
 * Selects the entries of each zone, that is, the daemons that its callers are directed to. Every
 * daemon selects the same few: fewer entries need fewer connections to targets and fewer messages,
 * and each of them observes more requests per target. Small hosts are entries only where there are
 * too few others; how many entries there are follows from capacities and the load that members tell.
 */
import { createHash } from 'node:crypto';
import type { Clock } from '@cactusrun/core';
import countEntries, { MINIMUM_ENTRIES } from './countEntries.js';
import type FleetMembers from './FleetMembers.js';
import HeldLoad from './HeldLoad.js';
import type { PeerDescription } from './PeerMessage.js';

/** Daemons of a zone that take the place of entries which fail; their failure must be known early. */
const STANDBYS_PER_ZONE = 3;
/** Age at which the list of entries is recomputed. */
const REFRESH_MILLISECONDS = 200;

export default class EntryDirectory {
  private readonly orderKeys = new Map<string, string>();

  private entries: readonly string[] = [];

  private isOwnEntry = false;

  private isOwnCritical = false;

  /** Monotonic time since which each member is an entry or a standby whose failure matters here. */
  private criticalSince: ReadonlyMap<string, number> = new Map();

  private refreshedAt = Number.NEGATIVE_INFINITY;

  private readonly loads: HeldLoad;

  /** @param ownLoad - load of callers at this daemon, in the unit of its capacity */
  constructor(
    private readonly members: FleetMembers,
    private readonly clock: Clock,
    private readonly ownLoad: () => number = () => 0,
  ) {
    this.loads = new HeldLoad(clock);
  }

  /** Peer addresses of the other daemons in the region that serve callers or are about to. */
  public entryAddresses(): readonly string[] {
    this.refresh();
    return this.entries;
  }

  /** Whether callers are directed to this daemon. */
  public isEntry(): boolean {
    this.refresh();
    return this.isOwnEntry;
  }

  /** Whether this daemon is an entry or would be one of the next. */
  public isCritical(): boolean {
    this.refresh();
    return this.isOwnCritical;
  }

  /**
   * The members that must be known to be alive, with the monotonic time since which they are: the
   * entries and standbys of the own zone and, for an entry, the entries of the region.
   */
  public criticalMembers(): ReadonlyMap<string, number> {
    this.refresh();
    return this.criticalSince;
  }

  private refresh(): void {
    const now = this.clock.now();
    if (now - this.refreshedAt < REFRESH_MILLISECONDS) return;
    const [self, ...others] = this.members.regionMembers();
    const ready = [self!, ...others].filter(({ state }) => state !== 'starting');
    const zones = [...new Set(ready.map(({ zone }) => zone))];
    this.recordLoads(ready);
    const entries = zones.flatMap((zone) => this.entriesOf(zone, ready));
    const near = this.rankMembers(ready.filter(({ zone }) => zone === self!.zone));
    const critical = near.slice(0, this.countFor(self!.zone, near) + STANDBYS_PER_ZONE);
    const active = others.filter(({ name }) => this.members.isActive(name));
    const serving = [...entries, ...active].map(({ address }) => address);
    this.entries = [...new Set(serving)].filter((address) => address !== self?.address);
    this.isOwnEntry = serving.includes(self!.address);
    this.isOwnCritical = this.isOwnEntry || critical.includes(self!);
    const important = this.isOwnEntry ? [...critical, ...entries] : critical;
    this.criticalSince = new Map(
      important.map(({ name }) => [name, this.criticalSince.get(name) ?? now]),
    );
    this.refreshedAt = now;
  }

  /** Records the load of each zone: the sum of what its daemons tell. */
  private recordLoads(daemons: readonly PeerDescription[]): void {
    const own = this.members.regionMembers()[0]?.name;
    const sums = new Map<string, number>();
    daemons.forEach(({ name, zone }) => {
      const load = name === own ? this.ownLoad() : (this.members.get(name)?.callerLoad ?? 0);
      sums.set(zone, (sums.get(zone) ?? 0) + load);
    });
    sums.forEach((load, zone) => this.loads.record(zone, load));
  }

  /** Caller addresses of the entries for a zone. */
  public addressesFor(zone: string): readonly string[] {
    return [...new Set(this.servingFor(zone).map(({ callerAddress }) => callerAddress))];
  }

  /** The daemons to which this one may relay requests when it reaches no target. */
  public relayPeers(): readonly PeerDescription[] {
    const [self] = this.members.regionMembers();
    return this.servingFor(self!.zone).filter(
      ({ name, isCutOff }) => name !== self!.name && isCutOff !== true,
    );
  }

  /**
   * The daemons that serve the callers of a zone. Those that are cut off from all targets are left
   * out, unless there are no others.
   */
  private servingFor(zone: string): readonly PeerDescription[] {
    this.refresh();
    const ready = this.members.regionMembers().filter(({ state }) => state === 'ready');
    const reaching = ready.filter(({ isCutOff }) => isCutOff !== true);
    const usable = reaching.length > 0 ? reaching : ready;
    const zoneEntries = this.entriesOf(zone, usable);
    if (zoneEntries.length >= MINIMUM_ENTRIES) return zoneEntries;
    const zones = [...new Set(usable.map((member) => member.zone))];
    return [
      ...new Set([...zoneEntries, ...zones.flatMap((other) => this.entriesOf(other, usable))]),
    ];
  }

  private entriesOf(zone: string, members: readonly PeerDescription[]): readonly PeerDescription[] {
    const near = this.rankMembers(members.filter((member) => member.zone === zone));
    return near.slice(0, this.countFor(zone, near));
  }

  /** @param ranked - the daemons of the zone in the order in which they become entries */
  private countFor(zone: string, ranked: readonly PeerDescription[]): number {
    const capacities = ranked.map(({ capacity }) => capacity);
    return countEntries(capacities, this.loads.of(zone));
  }

  /**
   * Orders members: those that are cut off from all targets last, then by capacity, and those of
   * equal capacity in an order that all daemons share.
   */
  private rankMembers(members: readonly PeerDescription[]): readonly PeerDescription[] {
    return [...members].sort(
      (left, right) =>
        Number(left.isCutOff === true) - Number(right.isCutOff === true) ||
        right.capacity - left.capacity ||
        compareText(this.orderKeyOf(left), this.orderKeyOf(right)),
    );
  }

  private orderKeyOf({ name }: PeerDescription): string {
    const known = this.orderKeys.get(name);
    if (known !== undefined) return known;
    const key = createHash('sha1').update(name).digest('base64url');
    this.orderKeys.set(name, key);
    return key;
  }
}

function compareText(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
