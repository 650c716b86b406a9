export { default as HttpPlatform } from './HttpPlatform.js';
export { default as LogFollower } from './LogFollower.js';
export { PlatformError } from './PlatformLog.js';
export { default as SnapshotWriter } from './SnapshotWriter.js';
export type { LogFollowerOptions } from './LogFollower.js';
export type { HostList, ListedHost, LogPage, PlatformFailure, PlatformLog } from './PlatformLog.js';
export type { SnapshotWriterOptions } from './SnapshotWriter.js';
