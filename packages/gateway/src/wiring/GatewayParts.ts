/** Constructs the state and the request path of one daemon, without its links to peers. */
import type { CrashTracker } from '@cactusrun/requests';
import AnswerSizes from '../placement/AnswerSizes.js';
import type AttemptTracker from '../health/AttemptTracker.js';
import RequestAdmission from '../admission/RequestAdmission.js';
import ServiceRoom from '../admission/ServiceRoom.js';
import CallerServer from '../callers/CallerServer.js';
import FailureRates from '../health/FailureRates.js';
import CallerLoad from '../fleet/CallerLoad.js';
import EntryDirectory from '../fleet/EntryDirectory.js';
import FleetMembers from '../fleet/FleetMembers.js';
import type { GatewayOptions } from './GatewayOptions.js';
import { findRoute, isRepeatable } from '../state/GatewayConfiguration.js';
import HeldAnswers from '../callers/HeldAnswers.js';
import BodyRooms from '../memory/BodyRooms.js';
import MemoryBudget from '../memory/MemoryBudget.js';
import HedgePolicy from '../hedging/HedgePolicy.js';
import SlotOccupancy from '../hedging/SlotOccupancy.js';
import GatewayState from '../state/GatewayState.js';
import IdleReuse from '../connections/IdleReuse.js';
import OutstandingRequests from '../placement/OutstandingRequests.js';
import { lengthOf } from '../connections/TargetAttempt.js';
import type { OpenConnection } from '../connections/openConnection.js';
import { openConnection } from '../connections/openConnection.js';
import type { PeerDescription } from '../fleet/PeerMessage.js';
import PeerRelay from '../relay/PeerRelay.js';
import LostTargets from '../reachability/LostTargets.js';
import probeTarget from '../reachability/probeTarget.js';
import TargetReachability from '../reachability/TargetReachability.js';
import RateLimitShare from '../limits/RateLimitShare.js';
import RequestProxy from '../execution/RequestProxy.js';
import RetryBudgetShares from '../execution/RetryBudgetShares.js';
import ServiceTimes from '../placement/ServiceTimes.js';
import TargetConnections from '../connections/TargetConnections.js';
import TargetCoverage from '../placement/TargetCoverage.js';
import LeavingTargets from '../limits/LeavingTargets.js';
import TargetAdmission from '../limits/TargetAdmission.js';
import TargetBackoffs from '../limits/TargetBackoffs.js';
import QuotaRefusals from '../limits/QuotaRefusals.js';
import WorkspaceQuotas from '../limits/WorkspaceQuotas.js';
import TargetRateLimits from '../limits/TargetRateLimits.js';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../health/TargetHealthEstimate.js';
import TargetPicker from '../placement/TargetPicker.js';
import TargetTable from '../state/TargetTable.js';

/** State that the components of one daemon share: targets, members and persistent data. */
export interface SharedState {
  readonly targets: TargetTable;
  readonly outstanding: OutstandingRequests;
  readonly connections: TargetConnections;
  /** Connections to peers, for relayed requests. */
  readonly peerConnections: TargetConnections;
  readonly reachability: TargetReachability;
  readonly lostTargets: LostTargets;
  readonly relay: PeerRelay;
  readonly serviceTimes: ServiceTimes;
  readonly failures: FailureRates;
  readonly idleReuse: IdleReuse;
  readonly retryBudgetShares: RetryBudgetShares;
  readonly rateLimits: TargetRateLimits;
  readonly quotas: WorkspaceQuotas;
  readonly leavingTargets: LeavingTargets;
  readonly backoffs: TargetBackoffs;
  readonly admission: TargetAdmission;
  readonly members: FleetMembers;
  readonly directory: EntryDirectory;
  readonly callerLoad: CallerLoad;
  readonly state: GatewayState;
  /** Answers that callers and peers have not read yet. */
  readonly heldAnswers: HeldAnswers;
  /** Room for the bodies of requests of callers and peers. */
  readonly bodyRooms: BodyRooms;
}

export function buildSharedState(
  options: GatewayOptions,
  describeSelf: () => PeerDescription,
): SharedState {
  const { clock, random, counters, logger } = options;
  const targets = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
  const outstanding = new OutstandingRequests();
  const idleReuse = new IdleReuse(clock);
  const serviceTimes = new ServiceTimes();
  const failures = new FailureRates(clock);
  const removalListeners = [(name: string) => outstanding.forgetPeer(name)];
  const members = new FleetMembers(describeSelf, clock, logger, (name) =>
    removalListeners.forEach((listener) => listener(name)),
  );
  const callerLoad = new CallerLoad(clock);
  const directory = new EntryDirectory(members, clock, () => callerLoad.current());
  const reachability = new TargetReachability({
    targets,
    openConnection: options.openTargetConnection,
    isEntry: () => directory.isEntry(),
    clock,
    random,
    counters,
    logger,
  });
  const lostTargets = new LostTargets({
    targets,
    probe: ({ address }) => probeTarget(address, reachability.openConnection, clock),
    clock,
    counters,
    logger,
  });
  const memory = new MemoryBudget(options.memoryBytes, clock, counters);
  const connect = (open: OpenConnection, reuse: IdleReuse) =>
    new TargetConnections(options.targetFields, reuse, clock, counters, open, memory);
  const connections = connect(reachability.openConnection, idleReuse);
  const peerConnections = connect(openConnection, new IdleReuse(clock));
  const relay = new PeerRelay({
    directory,
    connections: peerConnections,
    clock,
    random,
    counters,
    logger,
  });
  removalListeners.push((name) => relay.forget(name));
  reachability.subscribe((isCutOff) => isCutOff && connections.forgetAll());
  const { region, regions } = options;
  const share = new RateLimitShare({ region, regions, members, directory });
  const rateLimits = new TargetRateLimits({ share, clock, random, counters, logger });
  const quotas = buildQuotas(options, share, describeSelf, members, directory);
  removalListeners.push((name) => quotas.forgetPeer(name));
  const leavingTargets = new LeavingTargets({ clock, counters, logger });
  const backoffs = new TargetBackoffs({ clock, counters, logger });
  const admission = new TargetAdmission({ leavingTargets, backoffs, rateLimits });
  const countMembers = () => members.countFleet();
  const retryBudgetShares = new RetryBudgetShares(options.retryBudget, countMembers, clock);
  const state = new GatewayState(options.decode, targets, clock, logger, (changes) => {
    changes.forEach((change) => {
      if (change.kind !== 'removed') return;
      connections.forget(change.id);
      outstanding.forgetTarget(change.id);
      serviceTimes.forget(change.id);
      backoffs.forget(change.id);
      lostTargets.forget(change.id);
    });
  });
  return {
    targets,
    outstanding,
    connections,
    peerConnections,
    reachability,
    lostTargets,
    relay,
    serviceTimes,
    failures,
    idleReuse,
    retryBudgetShares,
    rateLimits,
    quotas,
    leavingTargets,
    backoffs,
    admission,
    members,
    directory,
    callerLoad,
    state,
    heldAnswers: new HeldAnswers(options.heldAnswerBytes, memory),
    bodyRooms: new BodyRooms(memory, counters),
  };
}

function buildQuotas(
  { quotaBounds: bounds, regions, clock, counters, logger }: GatewayOptions,
  share: RateLimitShare,
  describeSelf: () => PeerDescription,
  members: FleetMembers,
  directory: EntryDirectory,
): WorkspaceQuotas {
  return new WorkspaceQuotas({
    bounds,
    regions: Math.max(1, new Set(Object.values(regions)).size),
    share,
    entryNames: () => {
      const addresses = new Set(directory.entryAddresses());
      return members
        .live()
        .filter(({ description }) => addresses.has(description.address))
        .map(({ description }) => description.name);
    },
    incarnation: describeSelf().incarnation,
    refusals: new QuotaRefusals(clock, counters, logger),
    clock,
  });
}

export function buildProxy(
  options: GatewayOptions,
  sharedState: SharedState,
  attemptTracker: AttemptTracker,
  crashes: CrashTracker,
): RequestProxy {
  const { clock, random, counters, logger } = options;
  const picker = new TargetPicker({
    location: { zone: options.zone, region: options.region },
    regionOf: (zone) => options.regions[zone],
    targets: sharedState.targets,
    outstanding: sharedState.outstanding,
    serviceTimes: sharedState.serviceTimes,
    coverage: new TargetCoverage(clock, sharedState.failures, options.floorShare),
    admission: sharedState.admission,
    hasConnection: (target, kind) => sharedState.connections.hasIdle(target, kind),
    clock,
    random,
  });
  return new RequestProxy({
    state: sharedState.state,
    picker,
    hedging: buildHedging(options, sharedState),
    answerSizes: new AnswerSizes(),
    attemptTracker,
    connections: sharedState.connections,
    reachability: sharedState.reachability,
    relay: sharedState.relay,
    lostTargets: sharedState.lostTargets,
    requestAdmission: options.hasAdmission
      ? buildRequestAdmission(options, sharedState)
      : undefined,
    serviceTimes: sharedState.serviceTimes,
    failures: sharedState.failures,
    quotas: sharedState.quotas,
    crashes,
    retryBudgetShares: sharedState.retryBudgetShares,
    workspaceField: options.targetFields.workspace,
    keyTrustMilliseconds: options.keyTrustMilliseconds,
    clock,
    random,
    counters,
    logger,
  });
}

function buildHedging(
  { hedgeShare: share, clock, counters }: GatewayOptions,
  { targets, outstanding, reachability }: SharedState,
): HedgePolicy {
  const occupancy = new SlotOccupancy(targets, outstanding, clock);
  return new HedgePolicy({ share, occupancy, reachability, clock, counters });
}

/** The admission of requests when the slots of their service are taken. */
function buildRequestAdmission(
  { clock, random, counters, logger, region, regions }: GatewayOptions,
  { targets, outstanding, serviceTimes, admission, reachability }: SharedState,
): RequestAdmission {
  const rooms = new ServiceRoom({
    targets,
    outstanding,
    serviceTimes,
    targetAdmission: admission,
    reachability,
    isSameRegion: (zone) => regions[zone] === region,
    clock,
  });
  return new RequestAdmission({ rooms, clock, random, counters, logger });
}

/** Which requests a server takes: those of callers, or those that peers relay. */
interface ServerRole {
  readonly address: string;
  readonly isForPeers: boolean;
}

/** Constructs a server of requests that the proxy handles. */
export function buildServer(
  options: GatewayOptions,
  { state, heldAnswers, bodyRooms, callerLoad }: SharedState,
  proxy: RequestProxy,
  role: ServerRole,
): CallerServer {
  const server: CallerServer = new CallerServer({
    ...role,
    names: options.callerFields,
    clock: options.clock,
    random: options.random,
    counters: options.counters,
    logger: options.logger,
    heldAnswers,
    bodyRooms,
    limits: () => state.configuration?.limits,
    canOverlap: ({ host, path }) => {
      if (state.configuration === undefined) return false;
      const route = findRoute(state.configuration, host, path);
      return route !== undefined && isRepeatable(route.kind);
    },
    handle: async (exchange) => {
      const { configuration } = state;
      if (configuration !== undefined) server.applyLimits(configuration.limits);
      callerLoad.recordRequest(exchange.body.length);
      const outcome = await proxy.handle(exchange);
      if (outcome.kind === 'answered') callerLoad.recordAnswer(lengthOf(outcome.answer));
      return outcome;
    },
  });
  return server;
}
