/** Takes a caller's request to its route and service, and logs what came of it. */
import { createHash } from 'node:crypto';
import type { Random } from '@cactusrun/core';
import type { CallerCall, CallerOutcome } from './CallerCall.js';
import { refuse } from './CallerCall.js';
import type { GatewayRoute } from './GatewayConfiguration.js';
import { chooseService, findRoute } from './GatewayConfiguration.js';
import type FailureShares from './FailureShares.js';
import type GatewayState from './GatewayState.js';
import type { RefusalReason } from './Refusal.js';
import type { RequestJourneyParts } from './RequestJourney.js';
import RequestJourney from './RequestJourney.js';
import { SERVER_ERROR_STATUS } from './TargetRun.js';

/** An answer is given this long before the caller's deadline. */
const ANSWER_MARGIN_MILLISECONDS = 40;
/** One good answer in this many is logged. */
const ANSWERED_SAMPLE = 64;

/** A daemon that has just started waits this long for its configuration: some reads of the store. */
const START_WAIT_MILLISECONDS = 1_000;
/** Part of the time of a caller that may pass so. */
const START_WAIT_SHARE = 0.25;

export interface RequestProxyParts extends RequestJourneyParts {
  readonly state: GatewayState;
  readonly random: Random;
  readonly failures: FailureShares;
}

export default class RequestProxy {
  private answered = 0;

  constructor(private readonly parts: RequestProxyParts) {}

  public async handle(call: CallerCall): Promise<CallerOutcome> {
    const { state, random, crashes, allowances } = this.parts;
    if (!state.isComplete) await this.awaitState(call);
    const { configuration } = state;
    if (configuration === undefined || !state.isComplete) {
      return this.refuseUnrouted(call, 'no-configuration');
    }
    const route = findRoute(configuration, call.host, call.path);
    if (route === undefined) return this.refuseUnrouted(call, 'no-route');
    const service = chooseService(route, random.unit());
    if (service === undefined) return this.refuseUnrouted(call, 'no-target');
    const fingerprint = fingerprintOf(call);
    const deadline = deadlineOf(call, route);
    allowances.of(service).deposit();
    const outcome = crashes.isHeld(fingerprint)
      ? refuse('held-back')
      : await new RequestJourney(this.parts, {
          call,
          route,
          service,
          fingerprint,
          deadline,
        }).travel();
    this.log(call, route, service, configuration.version, outcome);
    return outcome;
  }

  /** Waits a little for the configuration and the registry, which come soon after the start. */
  private async awaitState(call: CallerCall): Promise<void> {
    const { state, clock, counters } = this.parts;
    const waits = (call.deadlineMilliseconds ?? Number.POSITIVE_INFINITY) * START_WAIT_SHARE;
    const limit = new AbortController();
    const timeout = clock.sleep(Math.min(START_WAIT_MILLISECONDS, waits), limit.signal);
    await Promise.race([state.whenComplete(), timeout]);
    limit.abort();
    counters.add('callers', state.isComplete ? 'awaited-state' : 'without-state');
  }

  private refuseUnrouted(call: CallerCall, reason: RefusalReason): CallerOutcome {
    const { state, counters, logger } = this.parts;
    counters.add('outcomes', reason);
    logger.info('request-refused', {
      request: call.id,
      host: call.host,
      reason,
      version: state.configuration?.version,
      registryPosition: state.position,
    });
    return refuse(reason);
  }

  /** Every failure is logged, and a sample of the good answers. */
  private log(
    call: CallerCall,
    route: GatewayRoute,
    service: string,
    version: number,
    outcome: CallerOutcome,
  ): void {
    const { counters, logger, clock } = this.parts;
    const milliseconds = Math.round(clock.now() - call.receivedAt);
    const status = outcome.kind === 'answered' ? outcome.answer.status : undefined;
    const isFailure = status === undefined || status >= SERVER_ERROR_STATUS;
    const result = outcome.kind === 'refused' ? outcome.reason : outcome.kind;
    if (outcome.kind === 'refused') this.parts.failures.note(service, true);
    counters.time('request', milliseconds);
    counters.add('outcomes', isFailure && status !== undefined ? 'target-failed' : result);
    this.answered += isFailure ? 0 : 1;
    if (!isFailure && this.answered % ANSWERED_SAMPLE !== 0) return;
    logger.info(isFailure ? 'request-failed' : 'request-answered', {
      request: call.id,
      route: route.name,
      service,
      version,
      result,
      status,
      milliseconds,
    });
  }
}

function deadlineOf(call: CallerCall, route: GatewayRoute): number {
  const waits = Math.min(
    route.timeoutMilliseconds,
    (call.deadlineMilliseconds ?? Number.POSITIVE_INFINITY) - ANSWER_MARGIN_MILLISECONDS,
  );
  return call.receivedAt + waits;
}

/** Names a request by what its caller sends again: method, path and body. */
function fingerprintOf(call: CallerCall): string {
  return createHash('sha1')
    .update(`${call.method} ${call.host}${call.path}\n`)
    .update(call.body)
    .digest('base64url');
}
