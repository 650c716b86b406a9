/**
 * The path of a caller's request, from its arrival to the truth about it: route, deadline, ticket
 * where it must not run twice, shard.
 */
import { createHash } from 'node:crypto';
import type { ConfigurationStore } from '@cactusrun/configuration';
import { targetKey } from '@cactusrun/configuration';
import type { Clock, Contract, Counters } from '@cactusrun/core';
import type { Attempt, AttemptResult, RequestBody, ResolvedRoute } from '@cactusrun/requests';
import { RouteTable } from '@cactusrun/requests';
import type { CallerAnswer, CallerRequest } from './CallerRequest.js';
import { refused } from './CallerRequest.js';
import { forwardedHeaders, headerOf } from './headers.js';
import type ShardRouter from './ShardRouter.js';
import type TicketedRequests from './TicketedRequests.js';

const FINGERPRINT_CHARACTERS = 20;

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
    const { store, clock, tickets, counters } = this.options;
    if (!store.isReady) return refused('no-configuration');
    const resolved = this.resolve(request);
    if (resolved === undefined) return refused('route-unknown');
    const { contract, route } = resolved;
    counters.add('requests', contract.service);
    const limit = Math.min(
      request.limitMilliseconds ?? contract.deadlineMilliseconds,
      contract.deadlineMilliseconds,
    );
    const deadline = clock.now() + limit;
    const path: Path = {
      request,
      resolved,
      deadline,
      fingerprint: fingerprintOf(request, contract),
    };
    if (route.requestClass === 'non-idempotent') {
      return tickets.handle(request, deadline, (body, signal, onAdmitted) =>
        this.run(path, body, signal, onAdmitted),
      );
    }
    return this.run(path, request.body, request.signal, () => {});
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
