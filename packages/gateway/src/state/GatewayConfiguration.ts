/** The configuration of the direct data path: an immutable, versioned document. */
import type WorkspaceKeys from '../workspaces/WorkspaceKeys.js';

/**
 * Determines whether a request may be retried after a failure. Uploads, whose bodies are large, are
 * never retried; downloads, whose answers are large, are until the first byte went to the caller.
 */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'upload' | 'download';

/** One of the services among which the requests of a route are split. */
export interface Destination {
  readonly service: string;
  /** Weight relative to the other destinations of the route. */
  readonly weight: number;
}

export interface GatewayRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Latency objective: a later answer is worth less to the caller. */
  readonly objectiveMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key of a workspace. */
  readonly isPublic: boolean;
  readonly timeoutMilliseconds: number;
  /** Maximum number of targets that may run one request. */
  readonly maximumAttempts: number;
  readonly destinations: readonly Destination[];
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

export interface GatewayConfiguration {
  readonly version: number;
  readonly limits: CallerLimits;
  /** Routes by host name, longest path prefix first. */
  readonly routes: ReadonlyMap<string, readonly GatewayRoute[]>;
  /** The keys of all workspaces; undefined when callers need none. */
  readonly workspaces: WorkspaceKeys | undefined;
}

const REPEATABLE_KINDS: ReadonlySet<RequestKind> = new Set(['idempotent', 'download']);

/** Whether requests of the kind may run more than once. */
export function isRepeatable(kind: RequestKind): boolean {
  return REPEATABLE_KINDS.has(kind);
}

/** The route of a request: the one of its host with the longest path prefix that matches. */
export function findRoute(
  configuration: GatewayConfiguration,
  host: string,
  path: string,
): GatewayRoute | undefined {
  const name = host.toLowerCase().replace(/:\d+$/, '');
  return configuration.routes.get(name)?.find((route) => path.startsWith(route.pathPrefix));
}

/**
 * Chooses the service for one request of a route by weight.
 *
 * @param point - a random number from 0 (inclusive) to 1 (exclusive)
 */
export function chooseService(route: GatewayRoute, point: number): string | undefined {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = point * total;
  const chosen = route.destinations.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (chosen ?? route.destinations.at(-1))?.service;
}
