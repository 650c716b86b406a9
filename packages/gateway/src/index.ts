export { default as ConfigurationRefusedError } from './state/ConfigurationRefusedError.js';
export { chooseService, findRoute, isRepeatable } from './state/GatewayConfiguration.js';
export { default as listen } from './listen.js';
export { openConnection } from './connections/openConnection.js';
export { REFUSAL_RULES } from './callers/Refusal.js';
export {
  default as TargetHealthEstimate,
  DEFAULT_HEALTH_MODEL_PARAMETERS,
} from './health/TargetHealthEstimate.js';
export { default as TargetPicker } from './placement/TargetPicker.js';
export { default as TargetTable } from './state/TargetTable.js';
export { startGateway } from './wiring/wireGateway.js';
export { default as WorkspaceKeys } from './workspaces/WorkspaceKeys.js';
export type { CallerFieldNames } from './callers/CallerServer.js';
export type {
  CallerLimits,
  Destination,
  GatewayConfiguration,
  GatewayRoute,
  RequestKind,
} from './state/GatewayConfiguration.js';
export type { GatewayOptions } from './wiring/GatewayOptions.js';
export type {
  ConfigurationPage,
  GatewayStore,
  StorePosition,
  TargetPage,
} from './state/GatewayStore.js';
export type { RefusalReason, RefusalRule } from './callers/Refusal.js';
export type { OpenConnection } from './connections/openConnection.js';
export type { TargetFieldNames } from './connections/TargetAttempt.js';
export type { TargetChange, TargetEntry } from './state/TargetEntry.js';
export type { Gateway } from './wiring/wireGateway.js';
export type { RequestQuota, Workspace } from './workspaces/Workspace.js';
export type { WorkspaceWithKeys } from './workspaces/WorkspaceKeys.js';
