/** Runs scripts of the operators' language against a daemon and reports the outcome of each. */
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
  notOnAllHosts: 5,
} as const;

export interface RunOptions {
  readonly isJson: boolean;
  readonly hasColours: boolean;
  readonly isDryRun: boolean;
  readonly identity: string;
  readonly author: string;
  readonly baseRevision?: number;
  /** Maximum wait until a change is in force on all hosts. */
  readonly waitMilliseconds: number;
}

export interface ScriptRunnerOptions {
  readonly client: OperatorClient;
  readonly write: (text: string) => void;
  readonly sleep: (milliseconds: number) => Promise<void>;
  readonly now: () => number;
}

const POLL_MILLISECONDS = 100;
const MAXIMUM_ATTEMPTS = 3;

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
  unknown: (reply) => `unknown, retry with the same --identity: ${reply.detail}`,
  'syntax-error': (reply) =>
    `line ${reply.line}, column ${reply.column}: expected ${reply.expected}`,
};

export default class ScriptRunner {
  constructor(private readonly options: ScriptRunnerOptions) {}

  /** Runs a script of queries or of commands, and returns the exit status. */
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
    const reply = await this.submit(script, options, baseRevision, MAXIMUM_ATTEMPTS);
    this.report(reply, options);
    if (reply.kind !== 'accepted' || reply.revision === undefined) return EXIT_BY_KIND[reply.kind];
    return this.waitForAllHosts(reply.revision, options);
  }

  private async currentRevision(): Promise<number> {
    const [rows] = await this.options.client.query('SHOW REVISION');
    return Number(rows?.[0]?.revision);
  }

  /** Retries while the outcome is unknown; the identity ensures that the change applies only once. */
  private async submit(
    script: string,
    options: RunOptions,
    baseRevision: number,
    attempts: number,
  ): Promise<ChangeReply> {
    const { identity, author, isDryRun } = options;
    const changeRequest = { script, identity, author, isDryRun, baseRevision };
    const reply = await this.options.client.change(changeRequest);
    if (reply.kind !== 'unknown' || attempts <= 1) return reply;
    await this.options.sleep(POLL_MILLISECONDS);
    return this.submit(script, options, baseRevision, attempts - 1);
  }

  private async waitForAllHosts(revision: number, options: RunOptions): Promise<number> {
    const startedAt = this.options.now();
    let rollout = await this.queryRollout(revision);
    while (rollout.behind.length > 0 && this.options.now() - startedAt < options.waitMilliseconds) {
      // Polls sequentially until every host has the revision.
      // eslint-disable-next-line no-await-in-loop
      await this.options.sleep(POLL_MILLISECONDS);
      // eslint-disable-next-line no-await-in-loop
      rollout = await this.queryRollout(revision);
    }
    const milliseconds = Math.round(this.options.now() - startedAt);
    this.reportRollout(revision, rollout, milliseconds, options);
    return rollout.behind.length === 0 ? EXIT.ok : EXIT.notOnAllHosts;
  }

  private async queryRollout(revision: number) {
    const [rows = []] = await this.options.client.query('SHOW HOSTS');
    const behind = rows.filter((row) => !(Number(row.revision) >= revision));
    return { hosts: rows.length, behind };
  }

  private report(reply: ChangeReply, options: RunOptions): void {
    const text = options.isJson ? JSON.stringify(reply) : TEXT_BY_KIND[reply.kind](reply);
    this.options.write(`${text}\n`);
  }

  private reportRollout(
    revision: number,
    rollout: { readonly hosts: number; readonly behind: readonly Row[] },
    milliseconds: number,
    options: RunOptions,
  ): void {
    const hostsBehind = rollout.behind.map((row) => `${row.host} (${row.lag || 'on its way'})`);
    const summary = { revision, hosts: rollout.hosts, behind: hostsBehind, milliseconds };
    const isOnAllHosts = hostsBehind.length === 0;
    const text = isOnAllHosts
      ? `in force on all ${rollout.hosts} hosts`
      : `accepted, but not yet in force on ${hostsBehind.join(', ')}`;
    this.options.write(`${options.isJson ? JSON.stringify(summary) : text}\n`);
  }
}
