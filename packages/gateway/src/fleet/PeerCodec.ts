/**
 * Encodes messages between daemons as JSON, the frequent kinds as lists of their fields in a fixed
 * order, since every byte between availability zones is paid for.
 */
import type { RequestRate } from '../state/TargetStatement.js';
import type { AttemptKind, AttemptOutcome, PeerMessage, WorkspaceUse } from './PeerMessage.js';
import { ATTEMPT_KINDS, NONE, OUTCOMES, STATES } from './wireNumbers.js';
import { encodeRate } from './wireRates.js';

export { default as decodePeerMessage } from './decodePeerMessage.js';

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

export function encodePeerMessage(message: PeerMessage): Buffer {
  if (message.kind === 'calls') return toBytes(packReports(message));
  if (message.kind === 'beat') return toBytes(packHeartbeat(message));
  if (message.kind === 'region-use') return toBytes(packRegionUse(message));
  return toBytes(message);
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

/** An object rather than a list, which builds that do not know the kind take for a heartbeat. */
function packRegionUse(message: RegionUseMessage): RegionUseFields {
  return { ...message, uses: packUses(message.uses) };
}

/** Attempt kinds are numbered downwards from -1, outcomes upwards from 1. */
function eventNumberOf(kind: AttemptKind | undefined, outcome: AttemptOutcome | undefined): number {
  if (kind !== undefined) return -1 - ATTEMPT_KINDS.indexOf(kind);
  return outcome === undefined ? 0 : OUTCOMES.indexOf(outcome) + 1;
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

function encodeOptionalRate(rate: RequestRate | undefined): [number?] {
  return presentNumber(rate === undefined ? undefined : encodeRate(rate));
}
