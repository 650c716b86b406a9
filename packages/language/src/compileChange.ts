/** Compiles commands into the operations of a change, against the configuration in force. */
import type { ConfigurationState, ContractPatch, Operation } from '@cactusrun/configuration';
import { applyOperation, checkAgainst, ContractSchema } from '@cactusrun/configuration';
import type { Contract } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';
import type { Clause, Command } from './Statement.js';

/** A command that can't be compiled: what it names is missing, exists already or is out of range. */
export class ChangeCompileError extends CactusrunError {
  public override readonly name = 'ChangeCompileError';

  constructor(message: string) {
    super(message, { step: 'compiling the change' });
  }
}

type ContractDraft = Pick<Contract, 'targets' | 'routes'> & ContractPatch;
type ClauseHandler<Kind extends Clause['kind']> = (
  draft: ContractDraft,
  clause: Extract<Clause, { kind: Kind }>,
) => ContractDraft;

const CLAUSE_HANDLERS: { readonly [Kind in Clause['kind']]: ClauseHandler<Kind> } = {
  setting: (draft, clause) => ({ ...draft, ...clause.patch }),
  'add-target': (draft, clause) => {
    if (draft.targets.some((target) => target.name === clause.target.name)) {
      throw new ChangeCompileError(`target ${clause.target.name} stands in the contract already`);
    }
    return { ...draft, targets: [...draft.targets, clause.target] };
  },
  'remove-target': (draft, clause) => {
    const targets = draft.targets.filter((target) => target.name !== clause.target);
    if (targets.length === draft.targets.length) {
      throw new ChangeCompileError(`the contract has no target ${clause.target}`);
    }
    return { ...draft, targets };
  },
  'add-route': (draft, clause) => ({ ...draft, routes: [...draft.routes, clause.route] }),
  'remove-route': (draft, clause) => {
    const routes = draft.routes.filter((route) => route.pathPrefix !== clause.pathPrefix);
    if (routes.length === draft.routes.length) {
      throw new ChangeCompileError(`the contract has no route "${clause.pathPrefix}"`);
    }
    return { ...draft, routes };
  },
};

function applyClauses(draft: ContractDraft, clauses: readonly Clause[]): ContractDraft {
  return clauses.reduce((current, clause) => {
    const handler = CLAUSE_HANDLERS[clause.kind] as ClauseHandler<Clause['kind']>;
    return handler(current, clause as never);
  }, draft);
}

function compileCreation(service: string, clauses: readonly Clause[]): Operation {
  const draft = applyClauses({ targets: [], routes: [] }, clauses);
  const { value, problems } = checkAgainst(ContractSchema, { service, ...draft });
  if (value !== undefined) return { kind: 'create-contract', contract: value as Contract };
  const text = problems.map((problem) => `${problem.path}: ${problem.message}`).join('; ');
  throw new ChangeCompileError(`contract ${service}: ${text}`);
}

function compileContractChange(
  state: ConfigurationState,
  service: string,
  clauses: readonly Clause[],
): Operation {
  const contract = state.contracts.get(service);
  if (contract === undefined) throw new ChangeCompileError(`no contract for ${service} in force`);
  const { targets, routes } = contract;
  const draft = applyClauses({ targets, routes }, clauses);
  const patch: ContractPatch = { ...draft };
  const { problems } = checkAgainst(ContractSchema, { ...contract, ...patch });
  const first = problems[0];
  if (first !== undefined)
    throw new ChangeCompileError(`${service} ${first.path}: ${first.message}`);
  return { kind: 'change-contract', service, patch };
}

function compileCommand(command: Command, state: ConfigurationState): Operation {
  if (command.kind === 'create-contract') return compileCreation(command.service, command.clauses);
  if (command.kind === 'change-contract') {
    return compileContractChange(state, command.service, command.clauses);
  }
  return command;
}

/**
 * Compiles commands into operations, each against the result of the previous ones.
 *
 * @param state - the configuration that the author sees; its revision is the base of the change
 * @throws ChangeCompileError for a command that could never be accepted
 */
export function compileChange(
  commands: readonly Command[],
  state: ConfigurationState,
): readonly Operation[] {
  const compiled = commands.reduce<{ state: ConfigurationState; operations: Operation[] }>(
    (before, command) => {
      const operation = compileCommand(command, before.state);
      const result = applyOperation(before.state, operation);
      const next = 'reason' in result ? before.state : result.state;
      return { state: next, operations: [...before.operations, operation] };
    },
    { state, operations: [] },
  );
  return compiled.operations;
}
