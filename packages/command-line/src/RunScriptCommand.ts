/** The default command of `cactusrun`: runs scripts in the operators' language. */
import { randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { hostname, userInfo } from 'node:os';
import { describeError, systemClock } from '@cactusrun/core';
import { Command, Option } from 'clipanion';
import OperatorClient from './OperatorClient.js';
import ScriptRunner, { EXIT } from './ScriptRunner.js';
import { startPrompt } from './startPrompt.js';

const DEFAULT_HOST = '127.0.0.21:9090';
const DEFAULT_WAIT_SECONDS = '13';
const MILLISECONDS_PER_SECOND = 1_000;

export default class RunScriptCommand extends Command {
  public static override paths = [Command.Default];

  public static override usage = Command.Usage({
    description: "Queries or changes the fleet's state, in the operators' language.",
    details: `
      Without a script and without --file it starts an interactive prompt with history.
      docs/LANGUAGE.md describes the language.

      Exit status: 0 done (a change: in force on all hosts); 1 the daemon could not be reached;
      2 the script has a syntax error; 3 the change was refused or not accepted; 4 the outcome is
      unknown, retry with the same --identity; 5 accepted, but not yet in force on all hosts.
    `,
    examples: [
      ['List the contracts in force', "$0 'SHOW CONTRACTS'"],
      ['Show the state of the targets', "$0 --json 'SHOW TARGETS OF orders'"],
      ['Publish contracts', '$0 --file examples/kreupelhout/contracts.crl'],
      ['Show what a change would do', "$0 --dry-run 'DRAIN TARGET orders-1 OF orders'"],
    ],
  });

  public host = Option.String('--host', DEFAULT_HOST, {
    description: "ip:port of a daemon's operators' address.",
  });

  public file = Option.String('--file', { description: 'Read the script from a file.' });

  public isJson = Option.Boolean('--json', false, {
    description: 'Print one line of JSON per answer.',
  });

  public isDryRun = Option.Boolean('--dry-run', false, {
    description: 'Show what a change would do, without making it.',
  });

  public identity = Option.String('--identity', {
    description: 'Identity of the change; retries with the same identity apply it only once.',
  });

  public baseRevision = Option.String('--base-revision', {
    description: 'Revision that the change is based on; defaults to the current one.',
  });

  public wait = Option.String('--wait', DEFAULT_WAIT_SECONDS, {
    description: 'Maximum wait until a change is in force on all hosts, in seconds.',
  });

  public script = Option.String({ required: false });

  public override async execute(): Promise<number> {
    try {
      return await this.runScripts();
    } catch (error) {
      this.context.stderr.write(`${describeError(error)}\n`);
      return EXIT.failed;
    }
  }

  private async runScripts(): Promise<number> {
    const script = this.file === undefined ? this.script : await readFile(this.file, 'utf8');
    if (script !== undefined) return this.run(script);
    await startPrompt({
      input: this.context.stdin,
      output: this.context.stdout,
      run: (text) => this.run(text),
    });
    return EXIT.ok;
  }

  private run(script: string): Promise<number> {
    const output = this.context.stdout as NodeJS.WriteStream;
    const runner = new ScriptRunner({
      client: new OperatorClient(this.host),
      write: (text) => output.write(text),
      sleep: (milliseconds) => systemClock.sleep(milliseconds),
      now: () => systemClock.now(),
    });
    return runner.run(script, {
      isJson: this.isJson,
      hasColours: output.isTTY === true,
      isDryRun: this.isDryRun,
      identity: this.identity ?? randomUUID(),
      author: `${userInfo().username}@${hostname()}`,
      ...(this.baseRevision === undefined ? {} : { baseRevision: Number(this.baseRevision) }),
      waitMilliseconds: Number(this.wait) * MILLISECONDS_PER_SECOND,
    });
  }
}
