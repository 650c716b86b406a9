/** Runs scripts of the operators' language against a daemon, and tells the truth about each. */
import { parseScript, ScriptSyntaxError } from '@cactusrun/language';
import type OperatorClient from './OperatorClient.js';
import type { ChangeReply, Row } from './OperatorClient.js';
import { renderRows } from './renderRows.js';

/** Exit statuses of `cactusrun`. */
export const EXIT = {
  ok: 0,
  failed: 1,
  syntax: 2,
  refused: 3,
  unknown: 4,
  notYetEverywhere: 5,
} as const;

export interface RunOptions {
  readonly isJson: boolean;
  readonly hasColours: boolean;
  readonly isDryRun: boolean;
  readonly identity: string;
  readonly author: string;
  readonly baseRevision?: number;
  /** Longest wait until a change is in force on all hosts. */
  readonly waitMilliseconds: number;
}

export interface ScriptRunnerOptions {
  readonly client: OperatorClient;
  readonly write: (text: string) => void;
  readonly sleep: (milliseconds: number) => Promise<void>;
  readonly now: () => number;
}

const POLL_MILLISECONDS = 100;
const ATTEMPTS = 3;

const EXIT_BY_KIND: Readonly<Record<ChangeReply['kind'], number>> = {
  accepted: EXIT.ok,
  'would-be-accepted': EXIT.ok,
  refused: EXIT.refused,
  'not-accepted': EXIT.refused,
  unknown: EXIT.unknown,
  'syntax-error': EXIT.syntax,
};

const TEXT_BY_KIND: Readonly<Record<ChangeReply['kind'], (reply: ChangeReply) => string>> = {
  accepted: (reply) => `accepted at revision ${reply.revision}: ${reply.summary}`,
  'would-be-accepted': (reply) => `would be accepted: ${reply.summary}`,
  refused: (reply) => `refused (${reply.reason}): ${reply.detail}`,
  'not-accepted': (reply) =>
    `not accepted, the platform does not take changes now: ${reply.detail}`,
  unknown: (reply) => `unknown, ask again with the same --identity: ${reply.detail}`,
  'syntax-error': (reply) =>
    `line ${reply.line}, column ${reply.column}: expected ${reply.expected}`,
};

export default class ScriptRunner {
  constructor(private readonly options: ScriptRunnerOptions) {}

  /** Runs a script of queries or of commands; returns the exit status. */
  public async run(script: string, options: RunOptions): Promise<number> {
    try {
      const statements = parseScript(script);
      const hasCommands = statements.some((statement) => statement.kind === 'command');
      return hasCommands ? await this.change(script, options) : await this.query(script, options);
    } catch (error) {
      if (!(error instanceof ScriptSyntaxError)) throw error;
      const { line, column, expected } = error;
      this.report({ kind: 'syntax-error', line, column, expected }, options);
      return EXIT.syntax;
    }
  }

  private async query(script: string, options: RunOptions): Promise<number> {
    const answers = await this.options.client.query(script);
    answers.forEach((rows) => this.options.write(renderRows(rows, options)));
    return EXIT.ok;
  }

  private async change(script: string, options: RunOptions): Promise<number> {
    const baseRevision = options.baseRevision ?? (await this.currentRevision());
    const reply = await this.submit(script, options, baseRevision, ATTEMPTS);
    this.report(reply, options);
    if (reply.kind !== 'accepted' || reply.revision === undefined) return EXIT_BY_KIND[reply.kind];
    return this.awaitEverywhere(reply.revision, options);
  }

  private async currentRevision(): Promise<number> {
    const [rows] = await this.options.client.query('SHOW REVISION');
    return Number(rows?.[0]?.revision);
  }

  /** A lost reply is asked for again: the identity makes that harmless. */
  private async submit(
    script: string,
    options: RunOptions,
    baseRevision: number,
    attempts: number,
  ): Promise<ChangeReply> {
    const { identity, author, isDryRun } = options;
    const order = { script, identity, author, isDryRun, baseRevision };
    const reply = await this.options.client.change(order);
    if (reply.kind !== 'unknown' || attempts <= 1) return reply;
    await this.options.sleep(POLL_MILLISECONDS);
    return this.submit(script, options, baseRevision, attempts - 1);
  }

  private async awaitEverywhere(revision: number, options: RunOptions): Promise<number> {
    const startedAt = this.options.now();
    let lagging = await this.laggingHosts(revision);
    while (lagging.behind.length > 0 && this.options.now() - startedAt < options.waitMilliseconds) {
      // Each turn asks again until every host has it.
      // eslint-disable-next-line no-await-in-loop
      await this.options.sleep(POLL_MILLISECONDS);
      // eslint-disable-next-line no-await-in-loop
      lagging = await this.laggingHosts(revision);
    }
    const milliseconds = Math.round(this.options.now() - startedAt);
    this.reportForce(revision, lagging, milliseconds, options);
    return lagging.behind.length === 0 ? EXIT.ok : EXIT.notYetEverywhere;
  }

  private async laggingHosts(revision: number) {
    const [rows = []] = await this.options.client.query('SHOW HOSTS');
    const behind = rows.filter((row) => !(Number(row.revision) >= revision));
    return { hosts: rows.length, behind };
  }

  private report(reply: ChangeReply, options: RunOptions): void {
    const text = options.isJson ? JSON.stringify(reply) : TEXT_BY_KIND[reply.kind](reply);
    this.options.write(`${text}\n`);
  }

  private reportForce(
    revision: number,
    lagging: { readonly hosts: number; readonly behind: readonly Row[] },
    milliseconds: number,
    options: RunOptions,
  ): void {
    const names = lagging.behind.map((row) => `${row.host} (${row.lag || 'on its way'})`);
    const facts = { revision, hosts: lagging.hosts, behind: names, milliseconds };
    const isEverywhere = names.length === 0;
    const text = isEverywhere
      ? `in force on all ${lagging.hosts} hosts`
      : `accepted and not yet seen by ${names.join(', ')}`;
    this.options.write(`${options.isJson ? JSON.stringify(facts) : text}\n`);
  }
}
