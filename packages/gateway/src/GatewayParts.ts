/** Constructs the state and the request path of one daemon, without its links to peers. */
import type { CrashWatch } from '@cactusrun/requests';
import type CallBook from './CallBook.js';
import CallerServer from './CallerServer.js';
import FailureShares from './FailureShares.js';
import FleetMembers from './FleetMembers.js';
import type { GatewayOptions } from './GatewayOptions.js';
import GatewayState from './GatewayState.js';
import IdleReuse from './IdleReuse.js';
import OutstandingCalls from './OutstandingCalls.js';
import type { PeerDescription } from './PeerMessage.js';
import RequestProxy from './RequestProxy.js';
import RetryAllowances from './RetryAllowances.js';
import ServiceTimes from './ServiceTimes.js';
import { DEFAULT_SICKNESS_RATES } from './SicknessBelief.js';
import TargetConnections from './TargetConnections.js';
import TargetCoverage from './TargetCoverage.js';
import TargetPicker from './TargetPicker.js';
import TargetTable from './TargetTable.js';

/** What one daemon knows of targets, members and persistent data. */
export interface SharedState {
  readonly targets: TargetTable;
  readonly outstanding: OutstandingCalls;
  readonly connections: TargetConnections;
  readonly serviceTimes: ServiceTimes;
  readonly failures: FailureShares;
  readonly idleReuse: IdleReuse;
  readonly retryBudgetShares: RetryAllowances;
  readonly members: FleetMembers;
  readonly state: GatewayState;
}

export function buildSharedState(
  options: GatewayOptions,
  describeSelf: () => PeerDescription,
): SharedState {
  const { clock, counters, logger } = options;
  const targets = new TargetTable(clock, DEFAULT_SICKNESS_RATES);
  const outstanding = new OutstandingCalls();
  const idleReuse = new IdleReuse(clock);
  const connections = new TargetConnections(options.targetFields, idleReuse, clock, counters);
  const serviceTimes = new ServiceTimes();
  const failures = new FailureShares(clock);
  const members = new FleetMembers(describeSelf, clock, logger, (name) =>
    outstanding.forgetPeer(name),
  );
  const countMembers = () => members.countFleet();
  const retryBudgetShares = new RetryAllowances(options.retryBudget, countMembers, clock);
  const state = new GatewayState(options.decode, targets, clock, logger, (changes) => {
    changes.forEach((change) => {
      if (change.kind !== 'removed') return;
      connections.forget(change.id);
      outstanding.forgetTarget(change.id);
      serviceTimes.forget(change.id);
    });
  });
  return {
    targets,
    outstanding,
    connections,
    serviceTimes,
    failures,
    idleReuse,
    retryBudgetShares,
    members,
    state,
  };
}

function buildProxy(
  options: GatewayOptions,
  sharedState: SharedState,
  attemptTracker: CallBook,
  crashes: CrashWatch,
): RequestProxy {
  const { clock, random, counters, logger } = options;
  const picker = new TargetPicker({
    place: { zone: options.zone, region: options.region },
    regionOf: (zone) => options.regions[zone],
    targets: sharedState.targets,
    outstanding: sharedState.outstanding,
    times: sharedState.serviceTimes,
    coverage: new TargetCoverage(clock, sharedState.failures, options.floorShare),
    clock,
    random,
  });
  return new RequestProxy({
    state: sharedState.state,
    picker,
    attemptTracker,
    connections: sharedState.connections,
    serviceTimes: sharedState.serviceTimes,
    failures: sharedState.failures,
    crashes,
    retryBudgetShares: sharedState.retryBudgetShares,
    clock,
    random,
    counters,
    logger,
  });
}

/** Constructs the server for callers and the components that handle their requests. */
export function buildCallerServer(
  options: GatewayOptions,
  sharedState: SharedState,
  attemptTracker: CallBook,
  crashes: CrashWatch,
): CallerServer {
  const { state } = sharedState;
  const proxy = buildProxy(options, sharedState, attemptTracker, crashes);
  const server: CallerServer = new CallerServer({
    address: options.callerAddress,
    names: options.callerFields,
    clock: options.clock,
    random: options.random,
    counters: options.counters,
    limits: () => state.configuration?.limits,
    handle: async (exchange) => {
      const { configuration } = state;
      if (configuration !== undefined) server.applyLimits(configuration.limits);
      return proxy.handle(exchange);
    },
  });
  return server;
}
