/** The command that runs scripts of the operators' language. */
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
    description: "Asks or changes what is in force, in the operators' language.",
    details: `
      Without a script and without --file it starts a prompt with history. docs/LANGUAGE.md is the
      grammar's page.

      Exit status: 0 done (a change: in force on all hosts); 1 the daemon could not be reached;
      2 the script is not of the language; 3 the change was refused or not accepted; 4 unknown, ask
      again with the same --identity; 5 accepted, and not yet seen by some hosts.
    `,
    examples: [
      ['What is in force', "$0 'SHOW CONTRACTS'"],
      ['How the targets stand', "$0 --json 'SHOW TARGETS OF orders'"],
      ['Publish contracts', '$0 --file examples/kreupelhout/contracts.crl'],
      ['See what a change would do', "$0 --dry-run 'DRAIN TARGET orders-1 OF orders'"],
    ],
  });

  public host = Option.String('--host', DEFAULT_HOST, {
    description: "ip:port of a daemon's operators' address.",
  });

  public file = Option.String('--file', { description: 'Read the script from a file.' });

  public isJson = Option.Boolean('--json', false, { description: 'Print JSON, a line an answer.' });

  public isDryRun = Option.Boolean('--dry-run', false, {
    description: 'Say what a change would do, and change nothing.',
  });

  public identity = Option.String('--identity', {
    description: 'Identity of the change; the same one asked for again is taken once.',
  });

  public baseRevision = Option.String('--base-revision', {
    description: 'Revision that the change is made against; the current one when left out.',
  });

  public wait = Option.String('--wait', DEFAULT_WAIT_SECONDS, {
    description: 'Longest wait until a change is in force on all hosts, in seconds.',
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
