/** Checks and decodes reports of attempts and of use, which are lists in a fixed order. */
import { isAmount, isListOf, isText, isWhole } from './fieldChecks.js';
import type { AttemptReport, PeerMessage, UseReport, WorkspaceUse } from './PeerMessage.js';
import { ATTEMPT_KINDS, NONE, OUTCOMES } from './wireNumbers.js';
import { decodeRate, isRate } from './wireRates.js';

type ReportsMessage = Extract<PeerMessage, { kind: 'calls' }>;
/** Target, outstanding, event, reported requests, elapsed milliseconds and rate limit. */
type ReportRow = readonly [string, number, number, number, number, unknown?];
/** Workspace, count and recent. */
type UseRow = readonly [string, number, number];

/** Decodes reports of attempts; undefined if one is unreadable. */
export function decodeReports(fields: readonly unknown[]): ReportsMessage | undefined {
  const [, sender, rows, useFields] = fields;
  if (!isText(sender) || !isListOf(rows, isReportRow)) return undefined;
  const reports = rows.map(decodeReport);
  if (useFields === undefined) return { kind: 'calls', sender, reports };
  const use = decodeUse(useFields);
  return use === undefined ? undefined : { kind: 'calls', sender, reports, use };
}

/** Decodes the uses of workspaces; undefined if one is unreadable. */
export function decodeUses(rows: unknown): readonly WorkspaceUse[] | undefined {
  if (!isListOf(rows, isUseRow)) return undefined;
  return rows.map(([workspace, count, recent]) => ({ workspace, count, recent }));
}

/**
 * An event of a later version is left out, and what a target stated that cannot be: the report still
 * tells the outstanding requests.
 */
function decodeReport(row: ReportRow): AttemptReport {
  const [target, outstanding, event, reportedRequests, elapsedMilliseconds, rate] = row;
  const outcome = OUTCOMES[event - 1];
  const attemptKind = ATTEMPT_KINDS[-1 - event];
  return {
    target,
    outstanding,
    ...(attemptKind === undefined ? {} : { attemptKind }),
    ...(outcome === undefined ? {} : { outcome }),
    ...(reportedRequests < 0 ? {} : { reportedRequests }),
    ...(elapsedMilliseconds === NONE ? {} : { elapsedMilliseconds }),
    ...(isRate(rate) ? { rateLimit: decodeRate(rate) } : {}),
  };
}

function decodeUse(fields: unknown): UseReport | undefined {
  if (!Array.isArray(fields)) return undefined;
  const [incarnation, rows] = fields as readonly unknown[];
  const uses = decodeUses(rows);
  return isWhole(incarnation) && uses !== undefined ? { incarnation, uses } : undefined;
}

function isReportRow(row: unknown): row is ReportRow {
  if (!Array.isArray(row)) return false;
  const [target, outstanding, event, reported, elapsed] = row as readonly unknown[];
  return (
    isText(target) &&
    isAmount(outstanding) &&
    isWhole(event) &&
    Number.isFinite(reported) &&
    isAmountOrNone(elapsed)
  );
}

function isAmountOrNone(value: unknown): value is number {
  return value === NONE || isAmount(value);
}

function isUseRow(row: unknown): row is UseRow {
  return Array.isArray(row) && isText(row[0]) && isAmount(row[1]) && isAmount(row[2]);
}
