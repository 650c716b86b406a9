export { chooseService, findRoute } from './GatewayConfiguration.js';
export { listen } from './PeerStateServer.js';
export { REFUSAL_RULES } from './Refusal.js';
export {
  default as TargetHealthEstimate,
  DEFAULT_HEALTH_MODEL_PARAMETERS,
} from './TargetHealthEstimate.js';
export { default as TargetPicker } from './TargetPicker.js';
export { default as TargetTable } from './TargetTable.js';
export { startGateway } from './wireGateway.js';
export type { CallerFieldNames } from './CallerServer.js';
export type {
  CallerLimits,
  Destination,
  GatewayConfiguration,
  GatewayRoute,
  RequestKind,
} from './GatewayConfiguration.js';
export type { GatewayOptions, StopTimes } from './GatewayOptions.js';
export type { ConfigurationPage, GatewayStore, StorePosition, TargetPage } from './GatewayStore.js';
export type { RefusalReason, RefusalRule } from './Refusal.js';
export type { TargetFieldNames } from './TargetAttempt.js';
export type { TargetChange, TargetEntry } from './TargetEntry.js';
export type { Gateway } from './wireGateway.js';
