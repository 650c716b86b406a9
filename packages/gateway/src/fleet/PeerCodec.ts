/**
 * Encodes messages between daemons as JSON, the frequent kinds as lists of their fields in a fixed
 * order, since every byte between availability zones is paid for.
 */
import type { RequestRate } from '../state/TargetStatement.js';
import type {
  AttemptKind,
  AttemptOutcome,
  AttemptReport,
  DaemonState,
  PeerMessage,
  PeerMessageKind,
  UseReport,
  WorkspaceUse,
} from './PeerMessage.js';

type ReportsMessage = Extract<PeerMessage, { kind: 'calls' }>;
type HeartbeatMessage = Extract<PeerMessage, { kind: 'beat' }>;
/** The last field is present only in reports of a rate limit. */
type ReportRow = [string, number, number, number, number, number?];
/** Workspace, count and recent. */
type UseRow = [string, number, number];
/** The last field is present only in reports of use: incarnation and rows. */
type ReportFields = ['calls', string, ReportRow[], [number, UseRow[]]?];
type RegionUseMessage = Extract<PeerMessage, { kind: 'region-use' }>;
type RegionUseFields = Omit<RegionUseMessage, 'uses'> & { readonly uses: UseRow[] };
type PlainMessage = Exclude<PeerMessage, ReportsMessage | HeartbeatMessage | RegionUseMessage>;
type UnhealthyRow = [string, number];
type RateLimitRow = [string, number, number];
/** Target and the start of its process. */
type LeavingRow = [string, number];
type HeartbeatFields = [
  'beat',
  string,
  number,
  number,
  number,
  number,
  number,
  number,
  Record<string, number>,
  UnhealthyRow[],
  RateLimitRow[]?,
  number?,
  LeavingRow[]?,
  number?,
];

const KINDS: readonly string[] = [
  'hello',
  'beat',
  'peers',
  'calls',
  'region-use',
  'news',
  'leaving-targets',
  'crash',
] satisfies readonly PeerMessageKind[];

/** Attempt outcomes by their number on the wire, from 1 on; 0 stands for none. */
const OUTCOMES: readonly AttemptOutcome[] = [
  'good',
  'failed',
  'refused',
  'unreachable',
  'stalled',
  'dropped',
];
const ATTEMPT_KINDS: readonly AttemptKind[] = ['fresh', 'repeated'];
/** States by their number on the wire. */
const STATES: readonly DaemonState[] = ['starting', 'ready', 'leaving'];
const NONE = -1;

export function encodePeerMessage(message: PeerMessage): Buffer {
  if (message.kind === 'calls') return toBytes(packReports(message));
  if (message.kind === 'beat') return toBytes(packHeartbeat(message));
  if (message.kind === 'region-use') return toBytes(packRegionUse(message));
  return toBytes(message);
}

/** Decodes a datagram; returns undefined if it is not a message of this protocol. */
export function decodePeerMessage(bytes: Buffer): PeerMessage | undefined {
  try {
    const value = JSON.parse(bytes.toString('utf8')) as
      ReportFields | HeartbeatFields | RegionUseFields | PlainMessage;
    if (Array.isArray(value)) {
      return value[0] === 'calls'
        ? unpackReports(value)
        : unpackHeartbeat(value as HeartbeatFields);
    }
    if (value.kind === 'region-use') return { ...value, uses: unpackUses(value.uses) };
    return KINDS.includes(value.kind) ? value : undefined;
  } catch {
    return undefined;
  }
}

function toBytes(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

function packReports({ sender, reports, use }: ReportsMessage): ReportFields {
  const rows = reports.map(
    ({
      target,
      outstanding,
      attemptKind,
      outcome,
      reportedRequests,
      elapsedMilliseconds,
      rateLimit,
    }): ReportRow => [
      target,
      outstanding,
      eventNumberOf(attemptKind, outcome),
      reportedRequests ?? NONE,
      elapsedMilliseconds ?? NONE,
      ...encodeOptionalRate(rateLimit),
    ],
  );
  return use === undefined
    ? ['calls', sender, rows]
    : ['calls', sender, rows, [use.incarnation, packUses(use.uses)]];
}

function packUses(uses: readonly WorkspaceUse[]): UseRow[] {
  return uses.map(({ workspace, count, recent }) => [workspace, count, recent]);
}

function unpackUses(rows: readonly UseRow[]): readonly WorkspaceUse[] {
  return rows.map(([workspace, count, recent]) => ({ workspace, count, recent }));
}

/** An object rather than a list, which builds that do not know the kind take for a heartbeat. */
function packRegionUse(message: RegionUseMessage): RegionUseFields {
  return { ...message, uses: packUses(message.uses) };
}

/** Attempt kinds are numbered downwards from -1, outcomes upwards from 1. */
function eventNumberOf(kind: AttemptKind | undefined, outcome: AttemptOutcome | undefined): number {
  if (kind !== undefined) return -1 - ATTEMPT_KINDS.indexOf(kind);
  return outcome === undefined ? 0 : OUTCOMES.indexOf(outcome) + 1;
}

function unpackReports([, sender, rows, useFields]: ReportFields): ReportsMessage {
  const reports = rows.map(
    ([target, outstanding, number, reportedRequests, elapsedMilliseconds, rate]): AttemptReport => {
      const outcome = OUTCOMES[number - 1];
      const attemptKind = ATTEMPT_KINDS[-1 - number];
      return {
        target,
        outstanding,
        ...(attemptKind === undefined ? {} : { attemptKind }),
        ...(outcome === undefined ? {} : { outcome }),
        ...(reportedRequests === NONE ? {} : { reportedRequests }),
        ...(elapsedMilliseconds === NONE ? {} : { elapsedMilliseconds }),
        ...(rate === undefined ? {} : { rateLimit: decodeRate(rate) }),
      };
    },
  );
  if (useFields === undefined) return { kind: 'calls', sender, reports };
  const [incarnation, useRows] = useFields;
  const use: UseReport = { incarnation, uses: unpackUses(useRows) };
  return { kind: 'calls', sender, reports, use };
}

function packHeartbeat(heartbeat: HeartbeatMessage): HeartbeatFields {
  const { configuration, targets, ageMilliseconds } = heartbeat.versions;
  return [
    'beat',
    heartbeat.sender,
    heartbeat.incarnation,
    STATES.indexOf(heartbeat.state),
    heartbeat.pauseMilliseconds,
    configuration,
    targets,
    ageMilliseconds,
    heartbeat.outstanding,
    heartbeat.unhealthy.map((one): UnhealthyRow => [one.target, one.ageMilliseconds]),
    heartbeat.rateLimits.map(({ target, rate, ageMilliseconds: age }): RateLimitRow => [
      target,
      encodeRate(rate),
      age,
    ]),
    heartbeat.isCutOff ? 1 : 0,
    heartbeat.leavingTargets.map(({ target, bornAt }): LeavingRow => [target, bornAt]),
    ...presentNumber(heartbeat.callerLoad),
  ];
}

function presentNumber(value: number | undefined): [number?] {
  return value === undefined ? [] : [value];
}

/** An unlimited rate is -1 on the wire. */
function encodeRate(rate: RequestRate): number {
  return rate === 'unlimited' ? NONE : rate;
}

function encodeOptionalRate(rate: RequestRate | undefined): [number?] {
  return presentNumber(rate === undefined ? undefined : encodeRate(rate));
}

function decodeRate(rate: number): RequestRate {
  return rate === NONE ? 'unlimited' : rate;
}

function unpackHeartbeat(fields: HeartbeatFields): HeartbeatMessage | undefined {
  const [, sender, incarnation, stateNumber, pauseMilliseconds, ...rest] = fields;
  const [configuration, targets, ageMilliseconds, outstanding, rows, ...later] = rest;
  const [limitRows = [], cutOff = 0, leavingRows = [], callerLoad] = later;
  const state = STATES[stateNumber];
  if (state === undefined) return undefined;
  return {
    kind: 'beat',
    sender,
    incarnation,
    state,
    isCutOff: cutOff === 1,
    pauseMilliseconds,
    versions: { configuration, targets, ageMilliseconds },
    outstanding,
    unhealthy: rows.map(([target, age]) => ({ target, ageMilliseconds: age })),
    rateLimits: limitRows.map(([target, rate, age]) => ({
      target,
      rate: decodeRate(rate),
      ageMilliseconds: age,
    })),
    leavingTargets: leavingRows.map(([target, bornAt]) => ({ target, bornAt })),
    ...(typeof callerLoad === 'number' ? { callerLoad } : {}),
  };
}
