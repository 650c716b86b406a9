/** Checks and decodes heartbeats, which are lists of their fields in a fixed order. */
import { isAmount, isListOf, isRecord, isText, isWhole } from './fieldChecks.js';
import type { KnownVersions, PeerMessage } from './PeerMessage.js';
import { STATES } from './wireNumbers.js';
import { decodeRate, isRate } from './wireRates.js';

type HeartbeatMessage = Extract<PeerMessage, { kind: 'beat' }>;
/** Target and age in milliseconds. */
type UnhealthyRow = readonly [string, number];
/** Target, rate and age in milliseconds. */
type RateLimitRow = readonly [string, number, number];
/** Target and the start of its process. */
type LeavingRow = readonly [string, number];

/** No daemon lets a peer wait longer for its next heartbeat. */
const MAXIMUM_PAUSE_MILLISECONDS = 3_600_000;

/** Decodes what a peer states of its versions; undefined if it is unreadable. */
export function decodeVersions(
  configuration: unknown,
  targets: unknown,
  ageMilliseconds: unknown,
): KnownVersions | undefined {
  if (!isWhole(configuration) || !isWhole(targets) || !isAmount(ageMilliseconds)) return undefined;
  return { configuration, targets, ageMilliseconds };
}

/** Decodes a heartbeat; undefined if it is unreadable. Further fields are of later versions. */
export function decodeHeartbeat(fields: readonly unknown[]): HeartbeatMessage | undefined {
  const [, sender, incarnation, stateNumber, pauseMilliseconds, ...rest] = fields;
  const [configuration, targets, ageMilliseconds, outstanding, ...lists] = rest;
  const [unhealthy, rateLimits = [], cutOff = 0, leaving = [], callerLoad] = lists;
  const state = isWhole(stateNumber) ? STATES[stateNumber] : undefined;
  const versions = decodeVersions(configuration, targets, ageMilliseconds);
  if (!isText(sender) || !isWhole(incarnation)) return undefined;
  if (state === undefined || versions === undefined) return undefined;
  if (!isAmount(pauseMilliseconds) || pauseMilliseconds > MAXIMUM_PAUSE_MILLISECONDS) {
    return undefined;
  }
  if (!isCounts(outstanding) || !isListOf(unhealthy, isUnhealthyRow)) return undefined;
  if (!Array.isArray(rateLimits) || !isListOf(leaving, isLeavingRow)) return undefined;
  return {
    kind: 'beat',
    sender,
    incarnation,
    state,
    isCutOff: cutOff === 1,
    pauseMilliseconds,
    versions,
    outstanding,
    unhealthy: unhealthy.map(([target, age]) => ({ target, ageMilliseconds: age })),
    // Earlier versions pass on rates that targets state without end, which are no numbers here.
    rateLimits: rateLimits.filter(isRateLimitRow).map(([target, rate, age]) => ({
      target,
      rate: decodeRate(rate),
      ageMilliseconds: age,
    })),
    leavingTargets: leaving.map(([target, bornAt]) => ({ target, bornAt })),
    ...(isAmount(callerLoad) ? { callerLoad } : {}),
  };
}

function isCounts(value: unknown): value is Readonly<Record<string, number>> {
  return isRecord(value) && Object.values(value).every(isAmount);
}

function isUnhealthyRow(row: unknown): row is UnhealthyRow {
  return Array.isArray(row) && isText(row[0]) && isAmount(row[1]);
}

function isRateLimitRow(row: unknown): row is RateLimitRow {
  return Array.isArray(row) && isText(row[0]) && isRate(row[1]) && isAmount(row[2]);
}

function isLeavingRow(row: unknown): row is LeavingRow {
  return Array.isArray(row) && isText(row[0]) && isWhole(row[1]);
}
