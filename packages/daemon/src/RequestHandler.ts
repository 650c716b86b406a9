/**
 * Handles a caller's request: resolves its route and deadline, deduplicates it by ticket unless it
 * is idempotent, and runs it on a shard.
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
import type StopGate from './StopGate.js';
import type TicketedRequests from './TicketedRequests.js';

const FINGERPRINT_CHARACTERS = 20;
/** Timeout for reaching the daemon that issued a ticket when no contract gives a deadline. */
const UNRESOLVED_TIMEOUT_MILLISECONDS = 10_000;

export interface RequestHandlerOptions {
  readonly store: ConfigurationStore;
  readonly router: ShardRouter;
  readonly tickets: TicketedRequests;
  readonly gate: StopGate;
  readonly clock: Clock;
  readonly counters: Counters;
}

/** State of one request; it keeps the configuration that was current when the request arrived. */
interface RequestContext {
  readonly request: CallerRequest;
  readonly resolved: ResolvedRoute;
  readonly deadline: number;
  readonly fingerprint: string;
}

export default class RequestHandler {
  private contracts: ReadonlyMap<string, Contract> | undefined;

  private routeTable = new RouteTable(new Map());

  constructor(private readonly options: RequestHandlerOptions) {}

  /** Handles one request. Failures of the caller or a target never reject the promise. */
  public async handle(request: CallerRequest): Promise<CallerAnswer> {
    const { store, clock, tickets } = this.options;
    const resolved = store.isReady ? this.resolve(request) : undefined;
    const unresolvedReason = store.isReady ? 'route-unknown' : 'no-configuration';
    const deadline = clock.now() + timeoutOf(request, resolved);
    if (resolved?.route.requestClass === 'idempotent') {
      return this.run(
        this.createContext(request, resolved, deadline),
        request.body,
        request.signal,
        () => {},
      );
    }
    if (resolved === undefined && request.ticket === undefined) return refused(unresolvedReason);
    // With a ticket, only the daemon that issued it can prove that nothing ran.
    const context = resolved && this.createContext(request, resolved, deadline);
    return tickets.handle(request, deadline, (body, signal, onAdmitted) =>
      context === undefined
        ? Promise.resolve(refusal(unresolvedReason, ''))
        : this.run(context, body, signal, onAdmitted),
    );
  }

  private createContext(
    request: CallerRequest,
    resolved: ResolvedRoute,
    deadline: number,
  ): RequestContext {
    const { contract } = resolved;
    this.options.counters.add('requests', contract.service);
    return { request, resolved, deadline, fingerprint: fingerprintOf(request, contract) };
  }

  private resolve(request: CallerRequest): ResolvedRoute | undefined {
    const { contracts } = this.options.store.current;
    if (contracts !== this.contracts) {
      this.contracts = contracts;
      this.routeTable = new RouteTable(contracts);
    }
    const host = headerOf(request.headers, 'host')?.split(':')[0] ?? '*';
    return this.routeTable.resolve(request.workspace, host, request.method, request.path);
  }

  private run(
    context: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
    onAdmitted: () => void,
  ): Promise<AttemptResult> {
    if (this.options.gate.isClosed) return Promise.resolve(refusal('stopping', ''));
    const { request, resolved, deadline, fingerprint } = context;
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

/** The request's timeout in milliseconds: the caller's, at most the contract's. */
function timeoutOf(request: CallerRequest, resolved: ResolvedRoute | undefined): number {
  const longest = resolved?.contract.deadlineMilliseconds ?? UNRESOLVED_TIMEOUT_MILLISECONDS;
  return Math.min(request.timeoutMilliseconds ?? longest, longest);
}

/** Identifies a request by the content that a target receives. */
function fingerprintOf(request: CallerRequest, contract: Contract): string {
  const length = headerOf(request.headers, 'content-length') ?? '';
  const digest = createHash('sha256')
    .update(`${contract.service}\n${request.method}\n${request.path}\n${length}\n`)
    .update(request.body.head)
    .digest('hex')
    .slice(0, FINGERPRINT_CHARACTERS);
  return targetKey(contract.service, digest);
}
