import { readFile } from 'node:fs/promises';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { applyOperation, EMPTY_STATE } from '@cactusrun/configuration';
import type { Command } from '../../Statement.js';
import { ChangeCompileError, compileChange } from '../../compileChange.js';
import { parseScript, ScriptSyntaxError } from '../../parseScript.js';

function syntaxErrorOf(script: string): ScriptSyntaxError | undefined {
  try {
    parseScript(script);
    return undefined;
  } catch (error) {
    return error as ScriptSyntaxError;
  }
}

function commandsOf(script: string): readonly Command[] {
  return parseScript(script).flatMap((statement) =>
    statement.kind === 'command' ? [statement.command] : [],
  );
}

const CREATE = `CREATE CONTRACT stock { REGION west; SLOTS PER TARGET 2;
  TARGET a AT 127.0.1.1:9000 IN west-a; ROUTE GET "/stock" idempotent; }`;

describe('parseScript', () => {
  it.each([
    ['SHOW CONTRACTS', { kind: 'show-contracts' }],
    ['show contract stock', { kind: 'show-contract', service: 'stock' }],
    ['SHOW TARGETS', { kind: 'show-targets', service: undefined }],
    ['SHOW TARGETS OF stock', { kind: 'show-targets', service: 'stock' }],
    ['SHOW TARGET a OF stock', { kind: 'show-target', target: 'a', service: 'stock' }],
    ['SHOW HOSTS', { kind: 'show-hosts' }],
    ['SHOW COUNTERS', { kind: 'show-counters', service: undefined }],
    ['SHOW ROUTES', { kind: 'show-routes' }],
    ['SHOW CHANGES', { kind: 'show-changes' }],
    ['SHOW HOLDS # a remark', { kind: 'show-holds' }],
    ['SHOW REVISION;', { kind: 'show-revision' }],
  ])('parses the query %s', (script, query) => {
    expect(parseScript(script)).toEqual([{ kind: 'query', query }]);
  });

  it.each([
    ['SHOW', 1, 5, 'CONTRACTS'],
    ['SHOW TARGETS OF', 1, 16, 'a name'],
    ['DRAIN TARGET a', 1, 15, 'OF'],
    ['CREATE CONTRACT x {\n  FLOOR much;\n}', 2, 9, 'a percentage such as 70%'],
    ['CREATE CONTRACT x { DEADLINE 5 parsecs; }', 1, 30, 'a duration such as 250ms, 5s or 1m'],
    ['CREATE CONTRACT x { EJECTION rash; }', 1, 30, 'swift, balanced or careful'],
  ])('reports the position of the error in %j', (script, line, column, expected) => {
    const error = syntaxErrorOf(script);
    expect(error).toBeInstanceOf(ScriptSyntaxError);
    expect([error?.line, error?.column]).toEqual([line, column]);
    expect(error?.expected).toContain(expected);
  });

  it('throws only ScriptSyntaxError for arbitrary input', () => {
    const words = fc.constantFrom(
      'SHOW',
      'CREATE',
      'CONTRACT',
      '{',
      '}',
      ';',
      'x',
      '"',
      '70%',
      '\n',
    );
    fc.assert(
      fc.property(
        fc.oneof(
          fc.string(),
          fc.array(words).map((list) => list.join(' ')),
        ),
        (script) => {
          const error = syntaxErrorOf(script);
          expect(error === undefined || error instanceof ScriptSyntaxError).toBe(true);
        },
      ),
      { seed: 23, numRuns: 500 },
    );
  });
});

describe('compileChange', () => {
  it.each(['kreupelhout', 'tuul'])('compiles the example of %s', async (name) => {
    const path = new URL(`../../../../../examples/${name}/contracts.crl`, import.meta.url);
    const operations = compileChange(commandsOf(await readFile(path, 'utf8')), EMPTY_STATE);
    expect(operations.map(({ kind }) => kind)).toEqual(Array(3).fill('create-contract'));
  });

  it('compiles each command against the result of the previous ones', () => {
    const script = `${CREATE}; CHANGE CONTRACT stock { ADD TARGET b AT 127.0.1.2:9000 IN west-b; };
      CHANGE CONTRACT stock { REMOVE TARGET a; FLOOR 0%; }`;
    const state = compileChange(commandsOf(script), EMPTY_STATE).reduce((before, operation) => {
      const result = applyOperation(before, operation);
      if ('reason' in result) throw new Error(result.detail);
      return result.state;
    }, EMPTY_STATE);
    expect(state.contracts.get('stock')?.targets.map(({ name }) => name)).toEqual(['b']);
  });

  it.each([
    ['a contract without a region', 'CREATE CONTRACT x { SLOTS PER TARGET 2; }', 'region'],
    ['a change of an unknown contract', 'CHANGE CONTRACT x { FLOOR 5%; }', 'no contract for x'],
    [
      'adding an existing target',
      `${CREATE}; CHANGE CONTRACT stock { ADD TARGET a AT 127.0.1.1:9 IN z; }`,
      'already',
    ],
    [
      'removing an unknown target',
      `${CREATE}; CHANGE CONTRACT stock { REMOVE TARGET z; }`,
      'no target z',
    ],
    [
      'removing an unknown route',
      `${CREATE}; CHANGE CONTRACT stock { REMOVE ROUTE "/z"; }`,
      'no route',
    ],
    ['a floor out of range', `${CREATE}; CHANGE CONTRACT stock { FLOOR 170%; }`, 'floorPercent'],
    [
      'a deposit route without a window',
      'CREATE CONTRACT x { REGION w; SLOTS PER TARGET 2; ROUTE "/" non-idempotent DEPOSIT; }',
      'window',
    ],
  ])('refuses %s', (_, script, message) => {
    expect(() => compileChange(commandsOf(script), EMPTY_STATE)).toThrow(ChangeCompileError);
    expect(() => compileChange(commandsOf(script), EMPTY_STATE)).toThrow(message);
  });
});
