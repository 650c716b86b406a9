/** Finds the workspace of a request by its key, and what a target gets to know of it. */
import type { HeaderFields } from '../connections/TargetAttempt.js';
import type { Workspace } from './Workspace.js';
import type WorkspaceKeys from './WorkspaceKeys.js';

const AUTHORIZATION_FIELD = 'authorization';
const BEARER_TOKEN = /^bearer +(\S+)$/i;

export type Authorization =
  | {
      readonly kind: 'authorized';
      /** Undefined without workspaces, and for a public route unless the caller has a known key. */
      readonly workspace: Workspace | undefined;
      /** The fields of the request for targets: without the key, with the name of its workspace. */
      readonly fields: HeaderFields;
    }
  | { readonly kind: 'unknown-key' };

/** What decides whether a request is authorized. */
export interface AuthorizationQuery {
  readonly fields: HeaderFields;
  /** Whether the route of the request needs no key. */
  readonly isPublic: boolean;
  /** Undefined when callers need no keys. */
  readonly workspaces: WorkspaceKeys | undefined;
  /** Name of the field that tells targets the workspace; that of a caller is removed. */
  readonly workspaceField: string;
}

/** Authorizes one request; without workspaces its fields pass as they are. */
export default function authorizeCaller(query: AuthorizationQuery): Authorization {
  const { fields, isPublic, workspaces, workspaceField } = query;
  if (workspaces === undefined) return { kind: 'authorized', workspace: undefined, fields };
  const key = keyOf(fields);
  const workspace = key === undefined ? undefined : workspaces.find(key);
  if (workspace === undefined && !isPublic) return { kind: 'unknown-key' };
  const removed = new Set([AUTHORIZATION_FIELD, workspaceField.toLowerCase()]);
  const passed = fields.filter(([name]) => !removed.has(name.toLowerCase()));
  return {
    kind: 'authorized',
    workspace,
    fields: workspace === undefined ? passed : [...passed, [workspaceField, workspace.name]],
  };
}

/** The key in the request; undefined without one, or with several, of which none can be trusted. */
function keyOf(fields: HeaderFields): string | undefined {
  const values = fields
    .filter(([name]) => name.toLowerCase() === AUTHORIZATION_FIELD)
    .map(([, value]) => value);
  return values.length === 1 ? BEARER_TOKEN.exec(values[0]!.trim())?.[1] : undefined;
}
