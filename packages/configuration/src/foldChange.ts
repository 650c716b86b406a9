/** Accepts a change as a whole or refuses it with a reason, by the order of the log alone. */
import type { Change, ChangeVerdict } from './Change.js';
import type { ConfigurationState, RememberedChange } from './ConfigurationState.js';
import { filterMap, withEntry } from './ConfigurationState.js';
import type { OperationResult } from './applyOperation.js';
import { applyOperation, serviceOf } from './applyOperation.js';
import { revokeExcessLeases } from './foldEjection.js';
import isValidOperation from './isValidOperation.js';

/** Maximum number of changes remembered by identity. */
const REMEMBERED_CHANGE_LIMIT = 1000;

type ChangeEvaluation = {
  readonly state: ConfigurationState;
  readonly verdict: ChangeVerdict;
};

function refused(
  state: ConfigurationState,
  reason: Extract<ChangeVerdict, { kind: 'refused' }>['reason'],
  detail: string,
): ChangeEvaluation {
  return { state, verdict: { kind: 'refused', reason, detail } };
}

function findConflict(state: ConfigurationState, change: Change): string | undefined {
  const touched = change.operations
    .map((operation) => state.touched.get(serviceOf(operation)))
    .find((entry) => entry !== undefined && entry.revision > change.baseRevision);
  if (touched === undefined) return undefined;
  const other = state.remembered.get(touched.identity);
  const otherSummary = other === undefined ? '' : ` by ${other.author}: ${other.summary}`;
  return `change ${touched.identity}${otherSummary} came first, at revision ${touched.revision}`;
}

/** Describes a change in one line. */
export function summarizeChange(change: Change): string {
  return change.operations
    .map((operation) => {
      const target = 'target' in operation ? `/${operation.target}` : '';
      return `${operation.kind} ${serviceOf(operation)}${target}`;
    })
    .join(', ');
}

/** Accepts or refuses a change against a state without recording it, as for a dry run. */
export function evaluateChange(
  state: ConfigurationState,
  change: Change,
  offset: number,
): ChangeEvaluation {
  if (change.baseRevision < state.forgottenOffset) {
    return refused(state, 'base-too-old', 'made against a revision that is no longer remembered');
  }
  const conflict = findConflict(state, change);
  if (conflict !== undefined) return refused(state, 'conflict', conflict);
  const result = change.operations.reduce<OperationResult>(
    (before, operation) => ('reason' in before ? before : applyOperation(before.state, operation)),
    { state },
  );
  if ('reason' in result) return refused(state, result.reason, result.detail);
  return { state: result.state, verdict: { kind: 'accepted', revision: offset } };
}

function rememberChange(state: ConfigurationState, entry: RememberedChange): ConfigurationState {
  const remembered = new Map(state.remembered).set(entry.identity, entry);
  if (remembered.size <= REMEMBERED_CHANGE_LIMIT) return { ...state, remembered };
  const oldest = remembered.values().next().value as RememberedChange;
  remembered.delete(oldest.identity);
  return { ...state, remembered, forgottenOffset: oldest.offset };
}

function dropOrphans(state: ConfigurationState): ConfigurationState {
  const targets = new Set(
    [...state.contracts.values()].flatMap((contract) =>
      contract.targets.map((target) => `${contract.service}/${target.name}`),
    ),
  );
  const drained = new Set([...state.drained].filter((key) => targets.has(key)));
  return { ...state, drained, claims: filterMap(state.claims, (_, key) => targets.has(key)) };
}

/** Refuses a change with an operation that cannot even be described: a field is no text. */
function refuseInvalid(
  state: ConfigurationState,
  { identity, author }: Change,
  offset: number,
): ConfigurationState {
  const { verdict } = refused(state, 'operation-invalid', 'an operation lacks a field of its kind');
  return rememberChange(state, { identity, author, offset, verdict, summary: 'unreadable' });
}

/** Folds a change record into the state. */
export function foldChange(
  state: ConfigurationState,
  change: Change,
  offset: number,
): ConfigurationState {
  if (state.remembered.has(change.identity)) return state;
  if (!change.operations.every(isValidOperation)) return refuseInvalid(state, change, offset);
  const evaluation = evaluateChange(state, change, offset);
  const entry: RememberedChange = {
    identity: change.identity,
    author: change.author,
    offset,
    verdict: evaluation.verdict,
    summary: summarizeChange(change),
  };
  if (evaluation.verdict.kind === 'refused') return rememberChange(state, entry);
  const touched = change.operations
    .map(serviceOf)
    .reduce(
      (map, service) => withEntry(map, service, { revision: offset, identity: change.identity }),
      evaluation.state.touched,
    );
  const next = dropOrphans({ ...evaluation.state, touched, revision: offset });
  return rememberChange(revokeExcessLeases(next), entry);
}
