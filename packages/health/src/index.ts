export { CAUTION_LEVELS } from './CautionLevels.js';
export { default as DecayingMean } from './DecayingMean.js';
export { default as DecayingQuantile } from './DecayingQuantile.js';
export { default as EjectionLeases, EJECTION_LEASE_MILLISECONDS } from './EjectionLeases.js';
export { default as Ejector } from './Ejector.js';
export { default as medianOf } from './medianOf.js';
export { default as ShardHealth } from './ShardHealth.js';
export type { CautionLevel } from './CautionLevels.js';
export type {
  EjectionLeasesOptions,
  EjectionLeaseLog,
  EjectionLeaseView,
} from './EjectionLeases.js';
export type { EjectorOptions } from './Ejector.js';
export type { ShardHealthOptions, TargetExplanation } from './ShardHealth.js';
