/**
 * The path of a caller's request, from its arrival to the truth about it: route, deadline, ticket
 * where it must not run twice, shard.
 */
import { createHash } from 'node:crypto';
import type { ConfigurationStore } from '@cactusrun/configuration';
import { targetKey } from '@cactusrun/configuration';
import type { Clock, Contract, Counters } from '@cactusrun/core';
import type { Attempt, AttemptResult, RequestBody, ResolvedRoute } from '@cactusrun/requests';
import { refusal, RouteTable } from '@cactusrun/requests';
import type { CallerAnswer, CallerRequest } from './CallerRequest.js';
import { refused } from './CallerRequest.js';
import { forwardedHeaders, headerOf } from './headers.js';
import type ShardRouter from './ShardRouter.js';
import type TicketedRequests from './TicketedRequests.js';

const FINGERPRINT_CHARACTERS = 20;
/** Longest wait for the daemon that a ticket names when no contract gives a deadline. */
const UNRESOLVED_MILLISECONDS = 10_000;

export interface RequestHandlerOptions {
  readonly store: ConfigurationStore;
  readonly router: ShardRouter;
  readonly tickets: TicketedRequests;
  readonly clock: Clock;
  readonly counters: Counters;
}

/** What one request carries through its path; it keeps the configuration that it began with. */
interface Path {
  readonly request: CallerRequest;
  readonly resolved: ResolvedRoute;
  readonly deadline: number;
  readonly fingerprint: string;
}

export default class RequestHandler {
  private contracts: ReadonlyMap<string, Contract> | undefined;

  private table = new RouteTable(new Map());

  constructor(private readonly options: RequestHandlerOptions) {}

  /** Handles one request; never rejects for anything that a caller or a target can cause. */
  public async handle(request: CallerRequest): Promise<CallerAnswer> {
    const { store, clock, tickets } = this.options;
    const resolved = store.isReady ? this.resolve(request) : undefined;
    const unresolved = store.isReady ? 'route-unknown' : 'no-configuration';
    const deadline = clock.now() + limitOf(request, resolved);
    if (resolved?.route.requestClass === 'idempotent') {
      return this.run(
        this.begin(request, resolved, deadline),
        request.body,
        request.signal,
        () => {},
      );
    }
    if (resolved === undefined && request.ticket === undefined) return refused(unresolved);
    // Where there is a ticket, only the daemon that it names can say that nothing ran.
    const path = resolved && this.begin(request, resolved, deadline);
    return tickets.handle(request, deadline, (body, signal, onAdmitted) =>
      path === undefined
        ? Promise.resolve(refusal(unresolved, ''))
        : this.run(path, body, signal, onAdmitted),
    );
  }

  private begin(request: CallerRequest, resolved: ResolvedRoute, deadline: number): Path {
    const { contract } = resolved;
    this.options.counters.add('requests', contract.service);
    return { request, resolved, deadline, fingerprint: fingerprintOf(request, contract) };
  }

  private resolve(request: CallerRequest): ResolvedRoute | undefined {
    const { contracts } = this.options.store.current;
    if (contracts !== this.contracts) {
      this.contracts = contracts;
      this.table = new RouteTable(contracts);
    }
    const host = headerOf(request.headers, 'host')?.split(':')[0] ?? '*';
    return this.table.resolve(request.workspace, host, request.method, request.path);
  }

  private run(
    path: Path,
    body: RequestBody,
    signal: AbortSignal,
    onAdmitted: () => void,
  ): Promise<AttemptResult> {
    const { request, resolved, deadline, fingerprint } = path;
    const { contract, route } = resolved;
    let isConsumed = false;
    const headers = forwardedHeaders(request.headers);
    const attempt: Omit<Attempt, 'shard'> = {
      service: contract.service,
      method: request.method,
      path: request.path,
      headers,
      body,
      requestClass: route.requestClass,
      priority: route.priority,
      isDeposit: route.isDeposit,
      fingerprint,
      callerZone: request.callerZone,
      deadline,
      signal,
      onAdmitted: () => {
        isConsumed = !body.isWhole;
        onAdmitted();
      },
    };
    return this.options.router.run(
      contract.service,
      (shard) => ({ ...attempt, shard: shard.id }),
      () => isConsumed,
    );
  }
}

/** The time that the request may take, in milliseconds. */
function limitOf(request: CallerRequest, resolved: ResolvedRoute | undefined): number {
  const longest = resolved?.contract.deadlineMilliseconds ?? UNRESOLVED_MILLISECONDS;
  return Math.min(request.limitMilliseconds ?? longest, longest);
}

/** Identifies a request by what a target would see of it. */
function fingerprintOf(request: CallerRequest, contract: Contract): string {
  const length = headerOf(request.headers, 'content-length') ?? '';
  const digest = createHash('sha256')
    .update(`${contract.service}\n${request.method}\n${request.path}\n${length}\n`)
    .update(request.body.head)
    .digest('hex')
    .slice(0, FINGERPRINT_CHARACTERS);
  return targetKey(contract.service, digest);
}
