export { default as OperatorClient } from './OperatorClient.js';
export { default as OperatorClientError } from './OperatorClientError.js';
export { renderRows } from './renderRows.js';
export { default as RunScriptCommand } from './RunScriptCommand.js';
export { default as ScriptRunner, EXIT } from './ScriptRunner.js';
export type { ChangeOrder, ChangeReply, Row } from './OperatorClient.js';
export type { RunOptions, ScriptRunnerOptions } from './ScriptRunner.js';
