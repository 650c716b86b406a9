/** Routes a caller's request to a service, has it executed and logs the outcome. */
import { createHash } from 'node:crypto';
import type { Random } from '@cactusrun/core';
import type { CallerExchange, CallerOutcome } from '../callers/CallerExchange.js';
import { refuse } from '../callers/CallerExchange.js';
import type FailureRates from '../health/FailureRates.js';
import type { GatewayConfiguration, GatewayRoute } from '../state/GatewayConfiguration.js';
import { chooseService, findRoute } from '../state/GatewayConfiguration.js';
import type GatewayState from '../state/GatewayState.js';
import type { RefusalReason } from '../callers/Refusal.js';
import type { RequestExecutionParts } from './RequestExecution.js';
import RequestExecution from './RequestExecution.js';
import authorizeCaller from '../workspaces/authorizeCaller.js';
import type { Workspace } from '../workspaces/Workspace.js';
import { SERVER_ERROR_STATUS } from './judgeAnswer.js';

/** The caller is answered this long before its deadline. */
const ANSWER_MARGIN_MILLISECONDS = 40;
/** One successful answer in this many is logged. */
const SUCCESS_LOG_INTERVAL = 64;

/** Longest wait of a request for the first configuration: a few reads of the store. */
const START_WAIT_MILLISECONDS = 1_000;
/** Largest share of a caller's deadline that this wait may use. */
const START_WAIT_SHARE = 0.25;

export interface RequestProxyParts extends RequestExecutionParts {
  readonly state: GatewayState;
  readonly random: Random;
  readonly failures: FailureRates;
  /** Name of the field that tells targets the workspace of the caller. */
  readonly workspaceField: string;
  /** Time for which keys are accepted after the store last confirmed the configuration. */
  readonly keyTrustMilliseconds: number;
}

export default class RequestProxy {
  private answered = 0;

  constructor(private readonly parts: RequestProxyParts) {}

  public async handle(exchange: CallerExchange): Promise<CallerOutcome> {
    const { state, random, crashes } = this.parts;
    if (!state.isComplete) await this.awaitState(exchange);
    const { configuration } = state;
    if (configuration === undefined || !state.isComplete) {
      return this.refuseUnrouted(exchange, 'no-configuration');
    }
    // A peer that has a newer configuration must not see its callers served by an older one.
    const isBehind = configuration.version < (exchange.relayed?.configurationVersion ?? 0);
    if (isBehind) return this.refuseUnrouted(exchange, 'no-configuration');
    const route = findRoute(configuration, exchange.host, exchange.path);
    if (route === undefined) return this.refuseUnrouted(exchange, 'no-route');
    const service = chooseService(route, random.unit());
    if (service === undefined) return this.refuseUnrouted(exchange, 'no-target');
    const isStale = this.hasStaleKeys(configuration) && !route.isPublic;
    if (isStale) return this.refuseUnrouted(exchange, 'stale-keys');
    const authorization = authorizeCaller({
      fields: exchange.fields,
      isPublic: route.isPublic,
      workspaces: configuration.workspaces,
      workspaceField: this.parts.workspaceField,
    });
    if (authorization.kind === 'unknown-key') return this.refuseUnrouted(exchange, 'unknown-key');
    const { workspace, fields } = authorization;
    const overQuota = this.checkQuota(exchange, workspace);
    if (overQuota !== undefined) return overQuota;
    const fingerprint = fingerprintOf(exchange);
    const deadline = deadlineOf(exchange, route);
    const outcome = crashes.isHeld(fingerprint)
      ? refuse('held-back')
      : await new RequestExecution(this.parts, {
          exchange,
          route,
          service,
          fields,
          priority: workspace?.priority ?? route.priority,
          workspace,
          needsAuthorization: configuration.workspaces !== undefined,
          fingerprint,
          version: configuration.version,
          deadline,
        }).execute();
    this.log(exchange, route, service, configuration.version, outcome);
    return outcome;
  }

  /** Whether a key may have been revoked that this daemon, cut off from the news, still accepts. */
  private hasStaleKeys({ workspaces }: GatewayConfiguration): boolean {
    const { state, keyTrustMilliseconds } = this.parts;
    return workspaces !== undefined && state.versions().ageMilliseconds > keyTrustMilliseconds;
  }

  /** The refusal of a request over the quota of its workspace; undefined within it. */
  private checkQuota(
    exchange: CallerExchange,
    workspace: Workspace | undefined,
  ): CallerOutcome | undefined {
    if (workspace === undefined || exchange.relayed?.isQuotaCounted === true) return undefined;
    const verdict = this.parts.quotas.check(workspace);
    if (verdict.kind === 'free') return undefined;
    this.parts.counters.add('outcomes', verdict.kind);
    return refuse(verdict.kind, verdict.freeInMilliseconds);
  }

  /** Waits briefly for the configuration and the registry, which arrive soon after the start. */
  private async awaitState(exchange: CallerExchange): Promise<void> {
    const { state, clock, counters } = this.parts;
    const waitMilliseconds =
      (exchange.deadlineMilliseconds ?? Number.POSITIVE_INFINITY) * START_WAIT_SHARE;
    const timeoutController = new AbortController();
    const timeout = clock.sleep(
      Math.min(START_WAIT_MILLISECONDS, waitMilliseconds),
      timeoutController.signal,
    );
    await Promise.race([state.whenComplete(), timeout]);
    timeoutController.abort();
    counters.add('callers', state.isComplete ? 'awaited-state' : 'without-state');
  }

  private refuseUnrouted(exchange: CallerExchange, reason: RefusalReason): CallerOutcome {
    const { state, counters, logger } = this.parts;
    counters.add('outcomes', reason);
    logger.info('request-refused', {
      request: exchange.id,
      host: exchange.host,
      reason,
      version: state.configuration?.version,
      registryPosition: state.position,
    });
    return refuse(reason);
  }

  /** Logs every failure and a sample of the successful answers. */
  private log(
    exchange: CallerExchange,
    route: GatewayRoute,
    service: string,
    version: number,
    outcome: CallerOutcome,
  ): void {
    const { counters, logger, clock } = this.parts;
    const milliseconds = Math.round(clock.now() - exchange.receivedAt);
    const status = outcome.kind === 'answered' ? outcome.answer.status : undefined;
    const isFailure = status === undefined || status >= SERVER_ERROR_STATUS;
    const result = outcome.kind === 'refused' ? outcome.reason : outcome.kind;
    if (outcome.kind === 'refused') this.parts.failures.record(service, true);
    counters.time('request', milliseconds);
    counters.add('outcomes', isFailure && status !== undefined ? 'target-failed' : result);
    this.answered += isFailure ? 0 : 1;
    if (!isFailure && this.answered % SUCCESS_LOG_INTERVAL !== 0) return;
    logger.info(isFailure ? 'request-failed' : 'request-answered', {
      request: exchange.id,
      route: route.name,
      service,
      version,
      result,
      status,
      milliseconds,
    });
  }
}

function deadlineOf(exchange: CallerExchange, route: GatewayRoute): number {
  const waitMilliseconds = Math.min(
    route.timeoutMilliseconds,
    (exchange.deadlineMilliseconds ?? Number.POSITIVE_INFINITY) - ANSWER_MARGIN_MILLISECONDS,
  );
  return exchange.receivedAt + waitMilliseconds;
}

/** Identifies a request by what stays the same when its caller retries: method, path and body. */
function fingerprintOf(exchange: CallerExchange): string {
  return createHash('sha1')
    .update(`${exchange.method} ${exchange.host}${exchange.path}\n`)
    .update(exchange.body)
    .digest('base64url');
}
