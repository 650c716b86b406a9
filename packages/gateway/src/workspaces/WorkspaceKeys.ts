/**
 * The keys by which callers are known, as digests: neither a dump of this table nor the time that a
 * comparison takes gives a key away.
 */
import { createHash } from 'node:crypto';
import { CactusrunError } from '@cactusrun/core';
import type { Workspace } from './Workspace.js';

/** A workspace with its keys, as the operator wrote them. */
export interface WorkspaceWithKeys {
  readonly workspace: Workspace;
  readonly keys: readonly string[];
}

export default class WorkspaceKeys {
  private readonly workspaceByDigest: ReadonlyMap<string, Workspace>;

  /** @throws CactusrunError when two workspaces have the same name or hold the same key */
  constructor(workspaces: readonly WorkspaceWithKeys[]) {
    const names = new Set<string>();
    const byDigest = new Map<string, Workspace>();
    workspaces.forEach(({ workspace, keys }) => {
      if (names.has(workspace.name)) throw conflict(`two workspaces are named ${workspace.name}`);
      names.add(workspace.name);
      keys.forEach((key) => {
        const digest = digestOf(key);
        const holder = byDigest.get(digest) ?? workspace;
        if (holder !== workspace) {
          throw conflict(`${holder.name} and ${workspace.name} hold the same key`);
        }
        byDigest.set(digest, workspace);
      });
    });
    this.workspaceByDigest = byDigest;
  }

  /** The workspace that holds the key; undefined when none does. */
  public find(key: string): Workspace | undefined {
    return this.workspaceByDigest.get(digestOf(key));
  }
}

function digestOf(key: string): string {
  return createHash('sha256').update(key).digest('base64url');
}

function conflict(message: string): CactusrunError {
  return new CactusrunError(message, { step: 'decoding the configuration' });
}
