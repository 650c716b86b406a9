/** Constructs what one daemon knows and does with requests, apart from its links to others. */
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

/** What one daemon knows of targets, members and the things that last. */
export interface Knowledge {
  readonly targets: TargetTable;
  readonly outstanding: OutstandingCalls;
  readonly connections: TargetConnections;
  readonly times: ServiceTimes;
  readonly failures: FailureShares;
  readonly idleReuse: IdleReuse;
  readonly allowances: RetryAllowances;
  readonly members: FleetMembers;
  readonly state: GatewayState;
}

export function buildKnowledge(
  options: GatewayOptions,
  describeSelf: () => PeerDescription,
): Knowledge {
  const { clock, counters, logger } = options;
  const targets = new TargetTable(clock, DEFAULT_SICKNESS_RATES);
  const outstanding = new OutstandingCalls();
  const idleReuse = new IdleReuse(clock);
  const connections = new TargetConnections(options.targetFields, idleReuse, clock, counters);
  const times = new ServiceTimes();
  const failures = new FailureShares(clock);
  const members = new FleetMembers(describeSelf, clock, logger, (name) =>
    outstanding.forgetPeer(name),
  );
  const countMembers = () => members.countFleet();
  const allowances = new RetryAllowances(options.retryBudget, countMembers, clock);
  const state = new GatewayState(options.decode, targets, clock, logger, (changes) => {
    changes.forEach((change) => {
      if (change.kind !== 'removed') return;
      connections.forget(change.id);
      outstanding.forgetTarget(change.id);
      times.forget(change.id);
    });
  });
  return {
    targets,
    outstanding,
    connections,
    times,
    failures,
    idleReuse,
    allowances,
    members,
    state,
  };
}

function buildProxy(
  options: GatewayOptions,
  knowledge: Knowledge,
  calls: CallBook,
  crashes: CrashWatch,
): RequestProxy {
  const { clock, random, counters, logger } = options;
  const picker = new TargetPicker({
    place: { zone: options.zone, region: options.region },
    regionOf: (zone) => options.regions[zone],
    targets: knowledge.targets,
    outstanding: knowledge.outstanding,
    times: knowledge.times,
    coverage: new TargetCoverage(clock, knowledge.failures, options.floorShare),
    clock,
    random,
  });
  return new RequestProxy({
    state: knowledge.state,
    picker,
    calls,
    connections: knowledge.connections,
    times: knowledge.times,
    failures: knowledge.failures,
    crashes,
    allowances: knowledge.allowances,
    clock,
    random,
    counters,
    logger,
  });
}

/** The server of callers' requests, in front of everything that serves them. */
export function buildCallerServer(
  options: GatewayOptions,
  knowledge: Knowledge,
  calls: CallBook,
  crashes: CrashWatch,
): CallerServer {
  const { state } = knowledge;
  const proxy = buildProxy(options, knowledge, calls, crashes);
  const server: CallerServer = new CallerServer({
    address: options.callerAddress,
    names: options.callerFields,
    clock: options.clock,
    random: options.random,
    counters: options.counters,
    limits: () => state.configuration?.limits,
    handle: async (call) => {
      const { configuration } = state;
      if (configuration !== undefined) server.applyLimits(configuration.limits);
      return proxy.handle(call);
    },
  });
  return server;
}
