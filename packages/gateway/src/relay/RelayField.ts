/** Header fields of requests that a daemon relays to a peer, and of the peer's refusals. */
import type { IncomingHttpHeaders } from 'node:http';
import type { RefusalReason } from '../callers/Refusal.js';
import { REFUSAL_RULES } from '../callers/Refusal.js';
import type { HeaderFields } from '../connections/TargetAttempt.js';

/** Attempts at targets that the relaying daemon has made. */
const ATTEMPTS_FIELD = 'cactusrun-attempts';
/** Version of the configuration that the relaying daemon has in force. */
const VERSION_FIELD = 'cactusrun-configuration';
/** Reason of the peer's own refusal; targets' answers have none. */
const REFUSAL_FIELD = 'cactusrun-refusal';

/** What the relaying daemon states of a request. */
export interface RelayStatement {
  readonly attemptsMade: number;
  readonly configurationVersion: number;
}

const RELAY_FIELDS: readonly string[] = [ATTEMPTS_FIELD, VERSION_FIELD, REFUSAL_FIELD];

/** Whether only daemons may set the field; those of callers and targets are removed. */
export function isRelayField(name: string): boolean {
  return RELAY_FIELDS.includes(name.toLowerCase());
}

export function encodeStatement(statement: RelayStatement): HeaderFields {
  return [
    [ATTEMPTS_FIELD, String(statement.attemptsMade)],
    [VERSION_FIELD, String(statement.configurationVersion)],
  ];
}

/** Fields that are missing or unreadable count as 0. */
export function decodeStatement(headers: IncomingHttpHeaders): RelayStatement {
  return {
    attemptsMade: readNumber(headers[ATTEMPTS_FIELD]),
    configurationVersion: readNumber(headers[VERSION_FIELD]),
  };
}

export function encodeRefusal(reason: RefusalReason): readonly string[] {
  return [REFUSAL_FIELD, reason];
}

/** The reason of a refusal by the peer; undefined for a target's answer. */
export function decodeRefusal(fields: HeaderFields): RefusalReason | undefined {
  const stated = fields.find(([name]) => name.toLowerCase() === REFUSAL_FIELD)?.[1];
  return stated !== undefined && Object.hasOwn(REFUSAL_RULES, stated)
    ? (stated as RefusalReason)
    : undefined;
}

function readNumber(text: string | string[] | undefined): number {
  const value = Number(text);
  return Number.isFinite(value) ? value : 0;
}
