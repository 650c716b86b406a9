/** `cactusrun explain`: explains the outcome of a request from the daemons' logs. */
import { readFile } from 'node:fs/promises';
import { text } from 'node:stream/consumers';
import { describeError } from '@cactusrun/core';
import { Command, Option } from 'clipanion';
import explainRequest from './explain/explainRequest.js';
import type { Explanation } from './explain/explainRequest.js';
import type { LogEntry } from './explain/LogEntry.js';
import { parseLogEntry } from './explain/LogEntry.js';

const EXIT = { ok: 0, failed: 1, notFound: 2 } as const;

export default class ExplainCommand extends Command {
  public static override paths = [['explain']];

  public static override usage = Command.Usage({
    description: 'Explains how a request ended and why, from the logs of the daemons.',
    details: `
      Takes the identity that the caller sent, and the log files of all daemons; without a file it
      reads standard input. docs/OPERATIONS.md describes each log event.

      Exit status: 0 explained; 1 a file could not be read; 2 no log line says how the request ended
      (only one in 64 successful answers is logged).
    `,
    examples: [['Why it failed', '$0 explain 7794e4d754dd4861 logs/*.jsonl']],
  });

  public request = Option.String();

  public files = Option.Rest();

  public isJson = Option.Boolean('--json', false, { description: 'Print one JSON object.' });

  public override async execute(): Promise<number> {
    try {
      const entries = await this.readEntries();
      const explanation = explainRequest(entries, this.request);
      if (explanation === undefined) {
        this.context.stderr.write(`no log line says how request ${this.request} ended\n`);
        return EXIT.notFound;
      }
      this.context.stdout.write(this.render(explanation));
      return EXIT.ok;
    } catch (error) {
      this.context.stderr.write(`${describeError(error)}\n`);
      return EXIT.failed;
    }
  }

  private async readEntries(): Promise<readonly LogEntry[]> {
    const contents =
      this.files.length === 0
        ? [await text(this.context.stdin)]
        : await Promise.all(this.files.map((file) => readFile(file, 'utf8')));
    return contents
      .flatMap((content) => content.split('\n'))
      .flatMap((line) => parseLogEntry(line) ?? []);
  }

  private render(explanation: Explanation): string {
    if (this.isJson) return `${JSON.stringify(explanation)}\n`;
    const { request, outcome, cause, lines } = explanation;
    const rows = lines.map(
      ({ time, host, event, fields }) =>
        `  ${new Date(time).toISOString()} ${host} ${event} ${JSON.stringify(fields)}`,
    );
    return `${request}: ${outcome}\n${cause}\n${rows.join('\n')}\n`;
  }
}
