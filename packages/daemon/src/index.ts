export { loadSettings, parseSettings, SettingsError } from './loadSettings.js';
export { MINIMUM_GRACE_MILLISECONDS, SettingsSchema } from './SettingsSchema.js';
export { startDaemon } from './wireDaemon.js';
export { CALLER_HEADERS } from './CallerRequest.js';
export { DIRECTORY_PATH, DIRECTORY_TTL_SECONDS } from './CallerDirectory.js';
export type { ChangeAnswer, ChangeRequest } from './ChangeService.js';
export type { Daemon, DaemonOptions } from './wireDaemon.js';
export type { DirectoryAnswer } from './CallerDirectory.js';
export type { Settings } from './SettingsSchema.js';
