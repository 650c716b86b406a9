export { default as LinkPipe } from './LinkPipe.js';
export { default as RawCaller } from './RawCaller.js';
export { default as ScriptedTarget, ENDLESS_WRITERS } from './ScriptedTarget.js';
export { default as StandInLink } from './StandInLink.js';
export { default as StandInPlatform } from './StandInPlatform.js';
export {
  default as StandInUpstream,
  IDENTITY_HEADER,
  REQUEST_ID_HEADER,
  STATE_HEADER,
  WORK_HEADER,
} from './StandInUpstream.js';
export type { EndlessWriter, TargetScript } from './ScriptedTarget.js';
export type { LinkDirection, LinkFaults, StandInLinkOptions } from './StandInLink.js';
export type { PlatformFaults, StandInHost, StandInPlatformOptions } from './StandInPlatform.js';
export type { RunRecord, StandInUpstreamOptions, UpstreamFaults } from './StandInUpstream.js';
