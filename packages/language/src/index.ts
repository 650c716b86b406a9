export { ChangeCompileError, compileChange } from './compileChange.js';
export { default as GRAMMAR_SOURCE } from './grammar.js';
export { parseScript, ScriptSyntaxError } from './parseScript.js';
export type { Clause, Command, Query, QueryKind, Statement } from './Statement.js';
