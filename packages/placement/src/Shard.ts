/**
 * Shards: groups of targets of a service in one availability zone. Each shard has one keeper at a
 * time (the daemon through which all requests to its targets go), chosen by rendezvous hashing over
 * the members of its zone.
 */
import type { Contract, Target } from '@cactusrun/core';
import type { Scorer } from './Placement.js';
import { placeKey, rankMembers } from './Placement.js';

/** Maximum average number of targets per shard; the targets of a larger zone are split. */
export const TARGETS_PER_SHARD = 16;

export interface Shard {
  /** `service/zone/number`. */
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly region: string;
  readonly targets: readonly Target[];
}

/** The fields of a member that placement uses. */
export interface KeeperCandidate {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
}

function shardsOfZone(scorer: Scorer, contract: Contract, zone: string): readonly Shard[] {
  const targets = contract.targets.filter((target) => target.zone === zone);
  const count = Math.ceil(targets.length / TARGETS_PER_SHARD);
  const ids = Array.from({ length: count }, (_, index) => `${contract.service}/${zone}/${index}`);
  const idByTarget = new Map(
    targets.map((target) => [target.name, placeKey(scorer, target.name, ids)]),
  );
  return ids
    .map((id) => ({
      id,
      service: contract.service,
      zone,
      region: contract.region,
      targets: targets.filter((target) => idByTarget.get(target.name) === id),
    }))
    .filter((shard) => shard.targets.length > 0);
}

/** The shards of a contract. */
export function createShards(scorer: Scorer, contract: Contract): readonly Shard[] {
  const zones = [...new Set(contract.targets.map((target) => target.zone))].sort();
  return zones.flatMap((zone) => shardsOfZone(scorer, contract, zone));
}

/**
 * The members that may keep a shard, its keeper first: those of its zone, else those of its region,
 * else all.
 */
export function rankKeepers(
  scorer: Scorer,
  shard: Pick<Shard, 'id' | 'zone' | 'region'>,
  candidates: readonly KeeperCandidate[],
): readonly string[] {
  const groups = [
    candidates.filter((candidate) => candidate.zone === shard.zone),
    candidates.filter((candidate) => candidate.region === shard.region),
    candidates,
  ];
  const group = groups.find((members) => members.length > 0) ?? [];
  return rankMembers(
    scorer,
    shard.id,
    group.map((candidate) => candidate.name),
  );
}
