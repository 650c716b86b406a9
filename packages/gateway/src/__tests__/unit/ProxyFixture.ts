/** A request proxy over scripted targets and peers, for tests. */
import type { Socket } from 'node:net';
import { Counters, createRandom, ManualClock, silentLogger } from '@cactusrun/core';
import { CrashTracker } from '@cactusrun/requests';
import createLostTargets from './createLostTargets.js';
import type LostTargets from '../../reachability/LostTargets.js';
import AttemptTracker from '../../health/AttemptTracker.js';
import EntryDirectory from '../../fleet/EntryDirectory.js';
import FailureRates from '../../health/FailureRates.js';
import FleetMembers from '../../fleet/FleetMembers.js';
import type {
  GatewayConfiguration,
  GatewayRoute,
  RequestKind,
} from '../../state/GatewayConfiguration.js';
import HedgePolicy from '../../hedging/HedgePolicy.js';
import SlotOccupancy from '../../hedging/SlotOccupancy.js';
import GatewayState from '../../state/GatewayState.js';
import IdleReuse from '../../connections/IdleReuse.js';
import OutstandingRequests from '../../placement/OutstandingRequests.js';
import type { CallerExchange, CallerOutcome } from '../../callers/CallerExchange.js';
import RequestProxy from '../../execution/RequestProxy.js';
import type { TargetStatement } from '../../state/TargetStatement.js';
import { NOTHING_STATED } from '../../state/TargetStatement.js';
import RetryBudgetShares from '../../execution/RetryBudgetShares.js';
import ServiceTimes from '../../placement/ServiceTimes.js';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import type { AttemptResult, OutgoingRequest } from '../../connections/TargetAttempt.js';
import type TargetConnections from '../../connections/TargetConnections.js';
import TargetCoverage from '../../placement/TargetCoverage.js';
import TargetPicker from '../../placement/TargetPicker.js';
import TargetTable from '../../state/TargetTable.js';
import createPeerDescription from './createPeerDescription.js';
import type PeerRelay from '../../relay/PeerRelay.js';
import type WorkspaceKeys from '../../workspaces/WorkspaceKeys.js';
import type { RelayedRequest, RelayResult } from '../../relay/PeerRelay.js';
import type TargetReachability from '../../reachability/TargetReachability.js';
import createReachability, { connectAtOnce } from './createReachability.js';
import createTargetNotices from './createTargetNotices.js';
import createRequestAdmission from './createRequestAdmission.js';
import createTargetEntry from './createTargetEntry.js';

const KINDS: readonly RequestKind[] = ['idempotent', 'non-idempotent', 'upload', 'download'];

/** A target that answers without a limit states that it has none. */
const UNLIMITED: TargetStatement = { ...NOTHING_STATED, rateLimit: 'unlimited' };

export function answer(
  status: number,
  isSigned = true,
  isFramed = true,
  stated: Partial<TargetStatement> = {},
): AttemptResult {
  const body = { bodyStart: Buffer.from('x'), bodyRest: undefined, isFramed };
  const seen = { isSigned, stated: { ...UNLIMITED, ...stated } };
  return { kind: 'answered', answer: { status, fields: [], ...body, ...seen } };
}

export const RESULTS = {
  good: answer(200),
  failed: answer(500),
  unsigned: answer(200, false),
  unframed: answer(200, true, false),
  full: { kind: 'not-run', reason: 'full', stated: NOTHING_STATED },
  other: { kind: 'not-run', reason: 'other-target', stated: NOTHING_STATED },
  unreached: { kind: 'not-sent', detail: 'no connection', isRefused: false },
  broken: { kind: 'broken', detail: 'reset' },
  dropped: { kind: 'dropped', detail: 'reset' },
  timeout: { kind: 'timeout' },
} as const satisfies Record<string, AttemptResult>;

export type ResultName = keyof typeof RESULTS;

function createRoute(kind: RequestKind): GatewayRoute {
  return {
    name: kind,
    host: 'h',
    pathPrefix: `/${kind}/`,
    kind,
    objectiveMilliseconds: 1_000,
    priority: 0,
    timeoutMilliseconds: 2_000,
    maximumAttempts: 2,
    isPublic: false,
    destinations: [{ service: 's', weight: 1 }],
  };
}

const LIMITS = { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 };

const BUDGET = { ratio: 0.2, fixedRetries: 40, windowMilliseconds: 10_000, regions: 1 };

interface ProxyFixtureOptions {
  /** Whether the configuration and the registry are known from the start. */
  /** Time for which keys are accepted without news of the configuration; no limit if absent. */
  readonly keyTrustMilliseconds?: number;
  /** Keys that callers need, if they do. */
  readonly workspaces?: WorkspaceKeys;
  readonly hasState?: boolean;
  /** Hedged requests per request; none if absent. */
  readonly hedgeShare?: number;
}

export function describeOutcome(outcome: CallerOutcome): string {
  if (outcome.kind === 'answered') return String(outcome.answer.status);
  return outcome.kind === 'refused' ? outcome.reason : outcome.kind;
}

export default class ProxyFixture {
  public readonly clock = new ManualClock();

  /** Requests that were sent to targets. */
  public sent: OutgoingRequest[] = [];

  /** What a target answers. */
  public script: (target: string, signal: AbortSignal) => Promise<AttemptResult> = async () =>
    RESULTS.good;

  /** Requests that were relayed to peers. */
  public readonly relayed: RelayedRequest[] = [];

  /** What a peer makes of a relayed request; undefined when there is no peer. */
  public relayResult: RelayResult | undefined;

  /** Opens the connections that check whether targets are reached. */
  public openProbe: () => Socket = connectAtOnce;

  public readonly reachability: TargetReachability;

  public readonly lostTargets: LostTargets;

  public readonly counters = new Counters();

  public readonly outstanding = new OutstandingRequests();

  public readonly retryBudgetShares = new RetryBudgetShares(BUDGET, () => 1, this.clock);

  private readonly targets: TargetTable;

  private readonly state: GatewayState;

  private readonly proxy: RequestProxy;

  constructor(private readonly options: ProxyFixtureOptions = {}) {
    const { hasState = true, hedgeShare = 0 } = options;
    this.targets = new TargetTable(this.clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
    this.state = this.createState();
    if (hasState) this.provideState();
    this.reachability = createReachability(this.clock, {
      targets: this.targets,
      openConnection: () => this.openProbe(),
    });
    this.lostTargets = createLostTargets(this.clock, this.targets);
    this.proxy = this.createProxy(hedgeShare);
  }

  /** Provides the proxy with a configuration and a registry. */
  public provideState(): void {
    const targets = Array.from({ length: 10 }, (_, index) => createTargetEntry(`t${index}`));
    this.state.applyDocument('1', 'test');
    this.state.replaceTargets(targets, 1, 'test');
  }

  /** Records that the store confirmed the configuration so long ago. */
  public confirm(ageMilliseconds: number): void {
    this.state.confirm(ageMilliseconds);
  }

  public handle(exchange: CallerExchange): Promise<CallerOutcome> {
    return this.proxy.handle(exchange);
  }

  /** The request of a caller, of the route of that kind. */
  public createExchange(kind: RequestKind, change: Partial<CallerExchange> = {}): CallerExchange {
    return {
      id: 'a',
      host: 'h',
      method: 'POST',
      path: `/${kind}/x`,
      fields: [],
      body: Buffer.from('b'),
      deadlineMilliseconds: 1_500,
      receivedAt: this.clock.now(),
      relayed: undefined,
      signal: new AbortController().signal,
      passOn: () => true,
      ...change,
    };
  }

  /** Targets answer with these results in turn, and well afterwards. */
  public answerInTurn(...names: readonly ResultName[]): void {
    const remaining = [...names];
    this.script = async () => RESULTS[remaining.shift() ?? 'good'];
  }

  private createState(): GatewayState {
    const configuration: GatewayConfiguration = {
      version: 1,
      limits: LIMITS,
      routes: new Map([['h', KINDS.map(createRoute)]]),
      workspaces: this.options.workspaces,
    };
    return new GatewayState(
      () => configuration,
      this.targets,
      this.clock,
      silentLogger,
      () => {},
    );
  }

  private createProxy(hedgeShare: number): RequestProxy {
    const { clock, targets, counters, outstanding, reachability, lostTargets, state } = this;
    const { retryBudgetShares } = this;
    const serviceTimes = new ServiceTimes();
    const failures = new FailureRates(clock);
    const random = createRandom(3);
    const notices = createTargetNotices(clock);
    const attemptTracker = new AttemptTracker({
      selfName: 'm',
      targets,
      outstanding,
      failures,
      idleReuse: new IdleReuse(clock),
      retryBudgetShares,
      ...notices,
      lostTargets,
      directory: createDirectory(clock),
      link: { send: () => true },
      clock,
      counters,
      logger: silentLogger,
    });
    const picker = new TargetPicker({
      location: { zone: 'z', region: 'r' },
      regionOf: () => 'r',
      targets,
      outstanding,
      serviceTimes,
      coverage: new TargetCoverage(clock, failures, 0.7),
      admission: notices.admission,
      hasConnection: () => false,
      clock,
      random,
    });
    return new RequestProxy({
      state,
      quotas: notices.quotas,
      picker,
      hedging: new HedgePolicy({
        share: hedgeShare,
        occupancy: new SlotOccupancy(targets, outstanding, clock),
        reachability,
        clock,
        counters,
      }),
      failures,
      attemptTracker,
      connections: this.scriptedConnections() as unknown as TargetConnections,
      serviceTimes,
      reachability,
      relay: this.scriptedRelay() as unknown as PeerRelay,
      lostTargets,
      requestAdmission: createRequestAdmission(clock, {
        targets,
        outstanding,
        serviceTimes,
        targetAdmission: notices.admission,
        reachability,
      }),
      crashes: new CrashTracker(clock, counters, () => {}),
      retryBudgetShares,
      workspaceField: 'X-Workspace',
      keyTrustMilliseconds: this.options.keyTrustMilliseconds ?? Number.POSITIVE_INFINITY,
      clock,
      random,
      counters,
      logger: silentLogger,
    });
  }

  private scriptedConnections(): Pick<TargetConnections, 'send' | 'forget'> {
    return {
      send: (target, request, signal) => {
        this.sent.push(request);
        return this.script(target.id, signal);
      },
      forget: () => {},
    };
  }

  private scriptedRelay(): Pick<PeerRelay, 'isAvailable' | 'send'> {
    const hasPeer = () => this.relayResult !== undefined;
    return {
      isAvailable: hasPeer,
      send: async (request) => {
        this.relayed.push(request);
        return this.relayResult ?? { kind: 'no-peer' };
      },
    };
  }
}

/** The directory of a daemon without peers. */
function createDirectory(clock: ManualClock): EntryDirectory {
  const self = () => createPeerDescription('m');
  return new EntryDirectory(new FleetMembers(self, clock, silentLogger, () => {}), clock);
}
