/**
 * Which member keeps which shard, kept up to date as members come and go: a lost member costs its
 * own shards only, a new one a single comparison for each shard of its zone.
 */
import type { Scorer } from './Placement.js';
import type { KeeperCandidate, Shard } from './Shard.js';
import { rankKeepers } from './Shard.js';

type Place = Pick<Shard, 'id' | 'zone' | 'region'>;

interface Placed {
  readonly shard: Place;
  readonly keeper: string | undefined;
  /** The keeper is of the shard's own zone. */
  readonly isLocal: boolean;
}

export default class KeeperIndex {
  private readonly members = new Map<string, KeeperCandidate>();

  private readonly placed = new Map<string, Placed>();

  constructor(private readonly scorer: Scorer) {}

  /** Puts the members in force that may keep shards. */
  public setMembers(members: readonly KeeperCandidate[]): void {
    const names = new Set(members.map((member) => member.name));
    const lost = [...this.members.keys()].filter((name) => !names.has(name));
    const joined = members.filter((member) => !this.isKnown(member));
    lost.forEach((name) => this.members.delete(name));
    joined.forEach((member) => this.members.set(member.name, member));
    if (lost.length > 0) this.forgetPlacesOf(new Set(lost));
    joined.forEach((member) => this.admit(member));
  }

  /** The member that keeps the shard; undefined when there are no members. */
  public keeperOf(shard: Place): string | undefined {
    const known = this.placed.get(shard.id);
    if (known !== undefined) return known.keeper;
    const keeper = rankKeepers(this.scorer, shard, [...this.members.values()])[0];
    const zone = keeper === undefined ? undefined : this.members.get(keeper)?.zone;
    this.placed.set(shard.id, { shard, keeper, isLocal: zone === shard.zone });
    return keeper;
  }

  private isKnown(member: KeeperCandidate): boolean {
    const known = this.members.get(member.name);
    return known?.zone === member.zone && known.region === member.region;
  }

  private forgetPlacesOf(lost: ReadonlySet<string>): void {
    this.placed.forEach(({ keeper }, id) => {
      if (keeper === undefined || lost.has(keeper)) this.placed.delete(id);
    });
  }

  private admit(member: KeeperCandidate): void {
    this.placed.forEach((placed, id) => {
      const { shard, keeper, isLocal } = placed;
      if (!isLocal || keeper === undefined) this.placed.delete(id);
      else if (shard.zone === member.zone && this.isBetter(id, member.name, keeper)) {
        this.placed.set(id, { ...placed, keeper: member.name });
      }
    });
  }

  private isBetter(key: string, challenger: string, keeper: string): boolean {
    const difference = this.scorer(key, challenger) - this.scorer(key, keeper);
    return difference > 0 || (difference === 0 && challenger < keeper);
  }
}
