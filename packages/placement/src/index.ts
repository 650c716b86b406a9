export { default as KeeperIndex } from './KeeperIndex.js';
export { createScorer, placeKey, rankMembers } from './Placement.js';
export { createShards, rankKeepers, TARGETS_PER_SHARD } from './Shard.js';
export type { KeeperCandidate, Shard } from './Shard.js';
export type { Scorer } from './Placement.js';
