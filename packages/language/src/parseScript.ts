/** Parses scripts of the operators' language into statements. */
import type { ContractPatch } from '@cactusrun/configuration';
import type { EjectionCaution, Priority, RequestClass, Route, Target } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';
import type { IterationNode, Node } from 'ohm-js';
import { grammar as createGrammar } from 'ohm-js';
import GRAMMAR_SOURCE from './grammar.js';
import type { Clause, Command, Query, Statement } from './Statement.js';

const MILLISECONDS_BY_UNIT: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

/** A syntax error in a script; line and column count from 1. */
export class ScriptSyntaxError extends CactusrunError {
  public override readonly name = 'ScriptSyntaxError';

  constructor(
    message: string,
    public readonly line: number,
    public readonly column: number,
    public readonly expected: string,
  ) {
    super(message, { step: 'parsing the script' });
  }
}

const language = createGrammar(GRAMMAR_SOURCE);
const semantics = language.createSemantics();

function read<Value>(node: Node): Value {
  return node.read() as Value;
}

function readOptional<Value>(node: Node): Value | undefined {
  const child = node.children[0];
  return child === undefined ? undefined : read<Value>(child);
}

function query(value: Query): Statement {
  return { kind: 'query', query: value };
}

function command(value: Command): Statement {
  return { kind: 'command', command: value };
}

function setting(patch: ContractPatch): Clause {
  return { kind: 'setting', patch };
}

semantics.addOperation<unknown>('read', {
  _iter: (...children) => children.map((child) => read(child)),
  _terminal() {
    return this.sourceString;
  },
  Script: (list: Node, _end: Node) => read(list),
  EmptyListOf: () => [],
  NonemptyListOf: (first: Node, _separators: Node, rest: IterationNode) => [
    read(first),
    ...rest.children.map((child) => read(child)),
  ],

  ShowContracts: (_show, _contracts) => query({ kind: 'show-contracts' }),
  ShowContract: (_show, _contract, name) => query({ kind: 'show-contract', service: read(name) }),
  ShowTargets: (_show, _targets, service) =>
    query({ kind: 'show-targets', service: readOptional(service) }),
  ShowTarget: (_show, _target, name, service) =>
    query({ kind: 'show-target', target: read(name), service: read(service) }),
  ShowHosts: (_show, _hosts) => query({ kind: 'show-hosts' }),
  ShowCounters: (_show, _counters, service) =>
    query({ kind: 'show-counters', service: readOptional(service) }),
  ShowRoutes: (_show, _routes) => query({ kind: 'show-routes' }),
  ShowChanges: (_show, _changes) => query({ kind: 'show-changes' }),
  ShowHolds: (_show, _holds) => query({ kind: 'show-holds' }),
  ShowRevision: (_show, _revision) => query({ kind: 'show-revision' }),
  OfService: (_of, name) => read(name),

  CreateContract: (_create, _contract, name, _open, clauses, _ends, _close) =>
    command({ kind: 'create-contract', service: read(name), clauses: read(clauses) }),
  ChangeContract: (_change, _contract, name, _open, clauses, _ends, _close) =>
    command({ kind: 'change-contract', service: read(name), clauses: read(clauses) }),
  WithdrawContract: (_withdraw, _contract, name) =>
    command({ kind: 'withdraw-contract', service: read(name) }),
  DrainTarget: (_drain, _target, name, service) =>
    command({ kind: 'drain-target', target: read(name), service: read(service) }),
  ReturnTarget: (_return, _target, name, service) =>
    command({ kind: 'return-target', target: read(name), service: read(service) }),
  LiftHold: (_lift, _hold, name, service) =>
    command({ kind: 'lift-hold', fingerprint: read(name), service: read(service) }),

  CreateClause: (clause) => {
    const value = read<Clause | Target | Route>(clause);
    if ('kind' in value) return value;
    return 'address' in value
      ? { kind: 'add-target', target: value }
      : { kind: 'add-route', route: value };
  },
  AddTarget: (_add, target): Clause => ({ kind: 'add-target', target: read(target) }),
  AddRoute: (_add, route): Clause => ({ kind: 'add-route', route: read(route) }),
  RemoveTarget: (_remove, _target, name): Clause => ({
    kind: 'remove-target',
    target: read(name),
  }),
  RemoveRoute: (_remove, _route, path): Clause => ({
    kind: 'remove-route',
    pathPrefix: read(path),
  }),

  Workspace: (_workspace, name) => setting({ workspace: read(name) }),
  Region: (_region, name) => setting({ region: read(name) }),
  Slots: (_slots, _per, _target, number) => setting({ slotsPerTarget: read(number) }),
  Connections: (_connections, _per, _slot, number) => setting({ connectionsPerSlot: read(number) }),
  Deposits: (_deposits, _per, _order, _window, number, every) => {
    const window = readOptional<number>(every);
    return setting({
      depositsPerOrderWindow: read(number),
      ...(window === undefined ? {} : { orderWindowMilliseconds: window }),
    });
  },
  Every: (_every, duration) => read(duration),
  Floor: (_floor, percentage) => setting({ floorPercent: read(percentage) }),
  Deadline: (_deadline, duration) => setting({ deadlineMilliseconds: read(duration) }),
  RetryBudget: (_retry, _budget, percentage) => setting({ retryBudgetPercent: read(percentage) }),
  Ejection: (_ejection, caution) => setting({ caution: caution.sourceString as EjectionCaution }),

  Target: (_target, name, _at, address, _in, zone): Target => ({
    name: read(name),
    address: address.sourceString,
    zone: read(zone),
  }),
  Route: (_route, methods, path, host, requestClass, priority, deposit): Route => ({
    host: readOptional<string>(host) ?? '*',
    pathPrefix: read(path),
    methods: readOptional<string[]>(methods) ?? [],
    requestClass: requestClass.sourceString as RequestClass,
    priority: readOptional<Priority>(priority) ?? 'normal',
    isDeposit: deposit.children.length > 0,
  }),
  Methods: (list) => read(list),
  RouteHost: (_host, name) => name.sourceString,
  RoutePriority: (_priority, value) => value.sourceString,

  name(_first, _rest) {
    return this.sourceString;
  },
  method(_letters) {
    return this.sourceString;
  },
  path(_open, _slash, _rest, _close) {
    return this.sourceString.slice(1, -1);
  },
  wholeNumber(_digits) {
    return Number(this.sourceString);
  },
  percentage(_whole, _point, _fraction, _sign) {
    return Number(this.sourceString.slice(0, -1));
  },
  duration(digits, unit) {
    return Number(digits.sourceString) * (MILLISECONDS_BY_UNIT[unit.sourceString] ?? 1);
  },
});

/**
 * Parses a script: statements separated by semicolons.
 *
 * @throws ScriptSyntaxError with the position up to which the script could be parsed
 */
export function parseScript(source: string): readonly Statement[] {
  const match = language.match(source);
  if (!match.failed()) return read<Statement[]>(semantics(match) as unknown as Node);
  const position = match.getRightmostFailurePosition();
  const before = source.slice(0, position).split('\n');
  const column = (before.at(-1)?.length ?? 0) + 1;
  const expected = (match.shortMessage ?? '').replace(/^.*?: expected /, '');
  throw new ScriptSyntaxError(match.message ?? 'not a statement', before.length, column, expected);
}
