/** Header fields of requests that a daemon relays to a peer, and of the peer's refusals. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Refused } from '../callers/CallerExchange.js';
import type { RefusalReason } from '../callers/Refusal.js';
import { REFUSAL_RULES } from '../callers/Refusal.js';
import type { HeaderFields } from '../connections/TargetAttempt.js';
import type { RelayStatement } from './RelayStatement.js';

/** Attempts at targets that the relaying daemon has made. */
const ATTEMPTS_FIELD = 'cactusrun-attempts';
/** Version of the configuration that the relaying daemon has in force. */
const VERSION_FIELD = 'cactusrun-configuration';
/** Reason of the peer's own refusal; targets' answers have none. */
const REFUSAL_FIELD = 'cactusrun-refusal';
/** Milliseconds until a target can take the request, with a refusal. */
const FREE_IN_FIELD = 'cactusrun-free-in';

/** What the relaying daemon has counted, so that its peer does not count it again. */
const COUNTED_FIELD = 'cactusrun-counted';
const QUOTA_COUNTED = 'quota';
const BUDGET_COUNTED = 'retry-budget';

const RELAY_FIELDS: readonly string[] = [
  ATTEMPTS_FIELD,
  VERSION_FIELD,
  REFUSAL_FIELD,
  FREE_IN_FIELD,
  COUNTED_FIELD,
];

/** Whether only daemons may set the field; those of callers and targets are removed. */
export function isRelayField(name: string): boolean {
  return RELAY_FIELDS.includes(name.toLowerCase());
}

export function encodeStatement(statement: RelayStatement): HeaderFields {
  const counted = [
    ...(statement.isQuotaCounted === true ? [QUOTA_COUNTED] : []),
    ...(statement.isBudgetCounted === true ? [BUDGET_COUNTED] : []),
  ];
  return [
    [ATTEMPTS_FIELD, String(statement.attemptsMade)],
    [VERSION_FIELD, String(statement.configurationVersion)],
    ...(counted.length === 0 ? [] : [[COUNTED_FIELD, counted.join(',')] as const]),
  ];
}

/** Fields that are missing or unreadable count as 0. */
export function decodeStatement(headers: IncomingHttpHeaders): RelayStatement {
  const counted = String(headers[COUNTED_FIELD] ?? '').split(',');
  return {
    attemptsMade: readNumber(headers[ATTEMPTS_FIELD]),
    configurationVersion: readNumber(headers[VERSION_FIELD]),
    ...(counted.includes(QUOTA_COUNTED) ? { isQuotaCounted: true } : {}),
    ...(counted.includes(BUDGET_COUNTED) ? { isBudgetCounted: true } : {}),
  };
}

export function encodeRefusal({ reason, freeInMilliseconds }: Refused): readonly string[] {
  const freeIn =
    freeInMilliseconds === undefined ? [] : [FREE_IN_FIELD, String(freeInMilliseconds)];
  return [REFUSAL_FIELD, reason, ...freeIn];
}

/** A refusal by the peer; undefined for a target's answer. */
export function decodeRefusal(fields: HeaderFields): Refused | undefined {
  const reason = valueOf(fields, REFUSAL_FIELD);
  if (reason === undefined || !Object.hasOwn(REFUSAL_RULES, reason)) return undefined;
  const freeInMilliseconds = readNumber(valueOf(fields, FREE_IN_FIELD));
  return {
    reason: reason as RefusalReason,
    ...(freeInMilliseconds > 0 ? { freeInMilliseconds } : {}),
  };
}

function valueOf(fields: HeaderFields, wanted: string): string | undefined {
  return fields.find(([name]) => name.toLowerCase() === wanted)?.[1];
}

function readNumber(text: string | string[] | undefined): number {
  const value = Number(text);
  return Number.isFinite(value) ? value : 0;
}
