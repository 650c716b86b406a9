/**
 * Which daemons the callers of a zone use. A few for each zone, the same on every daemon: fewer
 * entries need fewer connections to targets and fewer messages, and each sees more of them. Small
 * hosts serve callers only where there are no others.
 */
import { createHash } from 'node:crypto';
import type { Clock } from '@cactusrun/core';
import type FleetMembers from './FleetMembers.js';
import type { PeerDescription } from './PeerMessage.js';

/** Daemons that one zone's callers are spread over. */
const ENTRIES_PER_ZONE = 3;
/** With fewer entries than this in the zone, those of the region help out. */
const FEWEST_ENTRIES = 2;
/** Age at which the list of entries is made anew. */
const LIST_MILLISECONDS = 200;

export default class EntryDirectory {
  private readonly ranks = new Map<string, string>();

  private entries: readonly string[] = [];

  private isOwnEntry = false;

  private entriesAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly members: FleetMembers,
    private readonly clock: Clock,
  ) {}

  /** Peer addresses of the other daemons of the region that serve callers, or are soon to. */
  public entryAddresses(): readonly string[] {
    this.refresh();
    return this.entries;
  }

  /** Whether callers are sent to this daemon. */
  public isEntry(): boolean {
    this.refresh();
    return this.isOwnEntry;
  }

  private refresh(): void {
    const now = this.clock.now();
    if (now - this.entriesAt < LIST_MILLISECONDS) return;
    const [self, ...others] = this.members.region();
    const ready = [self!, ...others].filter(({ state }) => state !== 'starting');
    const zones = [...new Set(ready.map(({ zone }) => zone))];
    const entries = zones.flatMap((zone) => this.first(ready.filter((one) => one.zone === zone)));
    const active = others.filter(({ name }) => this.members.isActive(name));
    const serving = [...entries, ...active].map(({ address }) => address);
    this.entries = [...new Set(serving)].filter((address) => address !== self?.address);
    this.isOwnEntry = serving.includes(self!.address);
    this.entriesAt = now;
  }

  /** Addresses for callers of a zone. */
  public addressesFor(zone: string): readonly string[] {
    const ready = this.members.region().filter(({ state }) => state === 'ready');
    const near = this.first(ready.filter((member) => member.zone === zone));
    const chosen = near.length >= FEWEST_ENTRIES ? near : [...near, ...this.first(ready)];
    return [...new Set(chosen.map(({ callerAddress }) => callerAddress))];
  }

  private first(members: readonly PeerDescription[]): readonly PeerDescription[] {
    return [...members]
      .sort(
        (left, right) =>
          right.capacity - left.capacity || this.rankOf(left).localeCompare(this.rankOf(right)),
      )
      .slice(0, ENTRIES_PER_ZONE);
  }

  private rankOf({ name }: PeerDescription): string {
    const known = this.ranks.get(name);
    if (known !== undefined) return known;
    const rank = createHash('sha1').update(name).digest('base64url');
    this.ranks.set(name, rank);
    return rank;
  }
}
