/**
 * Assigns each shard to its keeper (the daemon through which all requests to its targets go) and
 * updates the assignments incrementally: a lost member affects only its own shards, a new one costs
 * a single comparison for each shard of its zone.
 */
import type { Scorer } from './Placement.js';
import type { KeeperCandidate, Shard } from './Shard.js';
import { rankKeepers } from './Shard.js';

type ShardLocation = Pick<Shard, 'id' | 'zone' | 'region'>;

interface Assignment {
  readonly shard: ShardLocation;
  readonly keeper: string | undefined;
  /** Whether the keeper is in the zone of the shard. */
  readonly isSameZone: boolean;
}

export default class KeeperIndex {
  private readonly members = new Map<string, KeeperCandidate>();

  private readonly assignments = new Map<string, Assignment>();

  constructor(private readonly scorer: Scorer) {}

  /** Replaces the members that may keep shards. */
  public setMembers(members: readonly KeeperCandidate[]): void {
    const names = new Set(members.map((member) => member.name));
    const lost = [...this.members.keys()].filter((name) => !names.has(name));
    const joined = members.filter((member) => !this.isKnown(member));
    lost.forEach((name) => this.members.delete(name));
    joined.forEach((member) => this.members.set(member.name, member));
    if (lost.length > 0) this.removeAssignmentsOf(new Set(lost));
    joined.forEach((member) => this.considerMember(member));
  }

  /** The keeper of the shard; undefined if there are no members. */
  public keeperOf(shard: ShardLocation): string | undefined {
    const known = this.assignments.get(shard.id);
    if (known !== undefined) return known.keeper;
    const keeper = rankKeepers(this.scorer, shard, [...this.members.values()])[0];
    const zone = keeper === undefined ? undefined : this.members.get(keeper)?.zone;
    this.assignments.set(shard.id, { shard, keeper, isSameZone: zone === shard.zone });
    return keeper;
  }

  private isKnown(member: KeeperCandidate): boolean {
    const known = this.members.get(member.name);
    return known?.zone === member.zone && known.region === member.region;
  }

  private removeAssignmentsOf(lost: ReadonlySet<string>): void {
    this.assignments.forEach(({ keeper }, id) => {
      if (keeper === undefined || lost.has(keeper)) this.assignments.delete(id);
    });
  }

  private considerMember(member: KeeperCandidate): void {
    this.assignments.forEach((assignment, id) => {
      const { shard, keeper, isSameZone } = assignment;
      if (!isSameZone || keeper === undefined) this.assignments.delete(id);
      else if (shard.zone === member.zone && this.isBetter(id, member.name, keeper)) {
        this.assignments.set(id, { ...assignment, keeper: member.name });
      }
    });
  }

  private isBetter(key: string, candidate: string, keeper: string): boolean {
    const difference = this.scorer(key, candidate) - this.scorer(key, keeper);
    return difference > 0 || (difference === 0 && candidate < keeper);
  }
}
