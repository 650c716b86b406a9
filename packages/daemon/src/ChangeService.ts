/** Compiles operators' changes, appends them to the log and waits for the resulting verdict. */
import type {
  Change,
  ChangeVerdict,
  ConfigurationStore,
  LogRecord,
} from '@cactusrun/configuration';
import { encodeRecord, evaluateChange, summarizeChange } from '@cactusrun/configuration';
import type { Clock, Counters, Logger } from '@cactusrun/core';
import { describeError } from '@cactusrun/core';
import type { Statement } from '@cactusrun/language';
import {
  ChangeCompileError,
  compileChange,
  parseScript,
  ScriptSyntaxError,
} from '@cactusrun/language';
import type { PlatformLog } from '@cactusrun/platform';
import { PlatformError } from '@cactusrun/platform';

const VERDICT_TIMEOUT_MILLISECONDS = 3_000;
const VERDICT_POLL_MILLISECONDS = 10;

export interface ChangeRequest {
  readonly identity: string;
  readonly author: string;
  readonly script: string;
  /** Revision that the change is based on; defaults to the current one of this daemon. */
  readonly baseRevision?: number | undefined;
  readonly isDryRun: boolean;
}

export type ChangeAnswer =
  | { readonly kind: 'accepted'; readonly revision: number; readonly summary: string }
  | { readonly kind: 'would-be-accepted'; readonly summary: string }
  | { readonly kind: 'refused'; readonly reason: string; readonly detail: string }
  /** Nothing was appended, because the platform is unreachable or refused the record. */
  | { readonly kind: 'not-accepted'; readonly detail: string }
  /** The change may have been appended; the operator should retry with the same identity. */
  | { readonly kind: 'unknown'; readonly detail: string }
  | {
      readonly kind: 'syntax-error';
      readonly detail: string;
      readonly line: number;
      readonly column: number;
      readonly expected: string;
    };

export interface ChangeServiceOptions {
  readonly store: ConfigurationStore;
  readonly log: PlatformLog;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

function answerOf(verdict: ChangeVerdict, summary: string): ChangeAnswer {
  return verdict.kind === 'accepted' ? { ...verdict, summary } : verdict;
}

function commandsOf(statements: readonly Statement[]) {
  const commands = statements.flatMap((statement) =>
    statement.kind === 'command' ? [statement.command] : [],
  );
  if (commands.length < statements.length) {
    throw new ChangeCompileError('a change holds commands only, no queries');
  }
  return commands;
}

export default class ChangeService {
  constructor(private readonly options: ChangeServiceOptions) {}

  /** Applies a change or evaluates it as a dry run; idempotent by the identity of the change. */
  public async submit(request: ChangeRequest): Promise<ChangeAnswer> {
    const answer = await this.decide(request);
    this.options.counters.add('changes', answer.kind);
    if (!request.isDryRun) {
      const { identity, author } = request;
      this.options.logger.info('change', { identity, author, outcome: answer.kind });
    }
    return answer;
  }

  private async decide(request: ChangeRequest): Promise<ChangeAnswer> {
    const known = this.options.store.current.remembered.get(request.identity);
    if (known !== undefined) return answerOf(known.verdict, known.summary);
    try {
      const change = this.compile(request);
      return request.isDryRun ? this.evaluateDryRun(change) : await this.appendChange(change);
    } catch (error) {
      return toErrorAnswer(error);
    }
  }

  private compile(request: ChangeRequest): Change {
    const { current } = this.options.store;
    const operations = compileChange(commandsOf(parseScript(request.script)), current);
    const { identity, author, baseRevision = current.revision } = request;
    return { identity, author, baseRevision, operations };
  }

  private evaluateDryRun(change: Change): ChangeAnswer {
    const { current } = this.options.store;
    const { verdict } = evaluateChange(current, change, current.offset + 1);
    const summary = summarizeChange(change);
    return verdict.kind === 'accepted' ? { kind: 'would-be-accepted', summary } : verdict;
  }

  private async appendChange(change: Change): Promise<ChangeAnswer> {
    const record: LogRecord = { kind: 'change', ...change };
    try {
      await this.options.log.append(encodeRecord(record));
    } catch (error) {
      if (error instanceof PlatformError && error.failure === 'refused') {
        return { kind: 'not-accepted', detail: error.message };
      }
      const verdict = await this.awaitVerdict(change.identity);
      return verdict ?? { kind: 'unknown', detail: describeError(error) };
    }
    const verdict = await this.awaitVerdict(change.identity);
    return verdict ?? { kind: 'unknown', detail: 'appended, and not yet seen by this daemon' };
  }

  private async awaitVerdict(identity: string): Promise<ChangeAnswer | undefined> {
    const { clock, store } = this.options;
    const end = clock.now() + VERDICT_TIMEOUT_MILLISECONDS;
    const find = () => store.current.remembered.get(identity);
    while (find() === undefined && clock.now() < end) {
      // The log follower applies further records between two polls.
      // eslint-disable-next-line no-await-in-loop
      await clock.sleep(VERDICT_POLL_MILLISECONDS);
    }
    const found = find();
    return found === undefined ? undefined : answerOf(found.verdict, found.summary);
  }
}

function toErrorAnswer(error: unknown): ChangeAnswer {
  if (error instanceof ScriptSyntaxError) {
    const { message, line, column, expected } = error;
    return { kind: 'syntax-error', detail: message, line, column, expected };
  }
  if (error instanceof ChangeCompileError) {
    return { kind: 'refused', reason: 'contract-invalid', detail: error.message };
  }
  throw error;
}
