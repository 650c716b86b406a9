/** The configuration of the direct data path: one immutable document with a version. */

/** What may be repeated after a failure. Uploads are never repeated. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'upload';

/** One of the services that share the requests of a route. */
export interface Destination {
  readonly service: string;
  /** Share of the requests, relative to the other destinations of the route. */
  readonly weight: number;
}

export interface GatewayRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RequestKind;
  /** Time within which an answer is worth most to the caller. */
  readonly objectiveMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly timeoutMilliseconds: number;
  /** Targets that may run one request. */
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
  /** Routes by host name, longest prefix first. */
  readonly routes: ReadonlyMap<string, readonly GatewayRoute[]>;
}

/** The route of a request: the longest prefix of its host that begins the path. */
export function findRoute(
  configuration: GatewayConfiguration,
  host: string,
  path: string,
): GatewayRoute | undefined {
  const name = host.toLowerCase().replace(/:\d+$/, '');
  return configuration.routes.get(name)?.find((route) => path.startsWith(route.pathPrefix));
}

/**
 * The service for one request of a route.
 *
 * @param point - a number from 0 up to, but without, 1
 */
export function chooseService(route: GatewayRoute, point: number): string | undefined {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let left = point * total;
  const chosen = route.destinations.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (chosen ?? route.destinations.at(-1))?.service;
}
