/** The effect of each operation on the configuration. */
import type { Contract } from '@cactusrun/core';
import type { ChangeRefusal, Operation, OperationKind } from './Change.js';
import type { ConfigurationState } from './ConfigurationState.js';
import { targetKey, withEntry, withoutEntry } from './ConfigurationState.js';
import { checkContract } from './ContractSchema.js';

/** The next state, or why the operation is refused. */
export type OperationResult =
  | { readonly state: ConfigurationState }
  | { readonly reason: ChangeRefusal; readonly detail: string };

type Handler<Kind extends OperationKind> = (
  state: ConfigurationState,
  operation: Extract<Operation, { kind: Kind }>,
) => OperationResult;

type HandlerTable = { readonly [Kind in OperationKind]: Handler<Kind> };

function refuse(reason: ChangeRefusal, detail: string): OperationResult {
  return { reason, detail };
}

function putContract(state: ConfigurationState, input: unknown): OperationResult {
  const { value, problems } = checkContract(input);
  if (value === undefined) {
    const text = problems.map((problem) => `${problem.path}: ${problem.message}`).join('; ');
    return refuse('contract-invalid', text);
  }
  return { state: { ...state, contracts: withEntry(state.contracts, value.service, value) } };
}

function findTarget(
  state: ConfigurationState,
  service: string,
  target: string,
): Contract | ReturnType<typeof refuse> {
  const contract = state.contracts.get(service);
  if (contract === undefined) return refuse('contract-unknown', `no contract for ${service}`);
  const isKnown = contract.targets.some((candidate) => candidate.name === target);
  return isKnown ? contract : refuse('target-unknown', `${service} has no target ${target}`);
}

const HANDLERS: HandlerTable = {
  'create-contract': (state, { contract }) =>
    state.contracts.has(contract.service)
      ? refuse('contract-exists', `a contract for ${contract.service} is in force`)
      : putContract(state, contract),

  'change-contract': (state, { service, patch }) => {
    const contract = state.contracts.get(service);
    return contract === undefined
      ? refuse('contract-unknown', `no contract for ${service}`)
      : putContract(state, { ...contract, ...patch, service });
  },

  'withdraw-contract': (state, { service }) =>
    state.contracts.has(service)
      ? { state: { ...state, contracts: withoutEntry(state.contracts, service) } }
      : refuse('contract-unknown', `no contract for ${service}`),

  'drain-target': (state, { service, target }) => {
    const found = findTarget(state, service, target);
    if ('reason' in found) return found;
    const drained = new Set(state.drained).add(targetKey(service, target));
    return { state: { ...state, drained } };
  },

  'return-target': (state, { service, target }) => {
    const found = findTarget(state, service, target);
    if ('reason' in found) return found;
    const drained = new Set(state.drained);
    drained.delete(targetKey(service, target));
    return { state: { ...state, drained } };
  },

  'lift-hold': (state, { service, fingerprint }) => {
    const key = targetKey(service, fingerprint);
    return state.holds.has(key)
      ? { state: { ...state, holds: withoutEntry(state.holds, key) } }
      : refuse('hold-unknown', `no request ${fingerprint} of ${service} is held back`);
  },
};

/** The service that an operation changes. */
export function serviceOf(operation: Operation): string {
  return operation.kind === 'create-contract' ? operation.contract.service : operation.service;
}

/** Whether this version knows the operation. */
export function isKnownOperation(operation: { readonly kind: string }): boolean {
  return Object.hasOwn(HANDLERS, operation.kind);
}

export function applyOperation(state: ConfigurationState, operation: Operation): OperationResult {
  const handler = HANDLERS[operation.kind] as Handler<OperationKind>;
  return handler(state, operation as never);
}
