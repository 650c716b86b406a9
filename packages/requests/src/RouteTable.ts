/**
 * Finds the route of a request: the one with the longest path prefix that ends at a segment
 * boundary. Routes of the workspace of the request take precedence over those of the default
 * workspace, which apply to all workspaces; a workspace without own routes needs no entries.
 */
import type { Contract, Route } from '@cactusrun/core';

export interface ResolvedRoute {
  readonly contract: Contract;
  readonly route: Route;
}

const ANY_HOST = '*';
const DEFAULT_WORKSPACE = 'default';

function tableKey(workspace: string, host: string, pathPrefix: string): string {
  return `${workspace} ${host} ${pathPrefix}`;
}

/** `/a/b/c`, `/a/b/`, `/a/b`, `/a/`, `/a`, `/`: the prefixes that end at a segment boundary. */
function prefixesOf(path: string): readonly string[] {
  const [plain = '/'] = path.split('?');
  const segments = plain.split('/').slice(1);
  const prefixes = segments.flatMap((_, index) => {
    const base = `/${segments.slice(0, index).join('/')}`;
    return index === 0 ? ['/'] : [base, `${base}/`];
  });
  return [...new Set([...prefixes, plain])].reverse();
}

export default class RouteTable {
  private readonly routes = new Map<string, ResolvedRoute[]>();

  constructor(contracts: ReadonlyMap<string, Contract>) {
    contracts.forEach((contract) => {
      contract.routes.forEach((route) => {
        const key = tableKey(contract.workspace, route.host, route.pathPrefix);
        const entries = this.routes.get(key) ?? [];
        entries.push({ contract, route });
        this.routes.set(key, entries);
      });
    });
  }

  /** The route of a request, or undefined if none matches. */
  public resolve(
    workspace: string,
    host: string,
    method: string,
    path: string,
  ): ResolvedRoute | undefined {
    const prefixes = prefixesOf(path);
    return [...new Set([workspace, DEFAULT_WORKSPACE])]
      .flatMap((candidateWorkspace) =>
        [host, ANY_HOST].map((candidate) => [candidateWorkspace, candidate] as const),
      )
      .flatMap(([candidateWorkspace, candidate]) =>
        prefixes.map((prefix) => tableKey(candidateWorkspace, candidate, prefix)),
      )
      .map((key) => this.routes.get(key)?.find(({ route }) => matchesMethod(route, method)))
      .find((resolved) => resolved !== undefined);
  }
}

function matchesMethod(route: Route, method: string): boolean {
  return route.methods.length === 0 || route.methods.includes(method);
}
