/** Entry point of `cactusrun`, the operators' command-line program. */
import process from 'node:process';
import { Builtins, Cli } from 'clipanion';
import ExplainCommand from './ExplainCommand.js';
import RunScriptCommand from './RunScriptCommand.js';

const cli = new Cli({
  enableColors: process.stdout.isTTY === true,
  binaryName: 'cactusrun',
  binaryLabel: 'cactusrun',
  binaryVersion: '0.1.0',
});
cli.register(ExplainCommand);
cli.register(RunScriptCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
