/** Whether a request was answered, provably did not run, or may have run. */
export type OutcomeKind = 'answered' | 'not-run' | 'unknown';

/** Whether and how a caller may retry. */
export type RetryAdvice = 'same-ticket' | 'fresh-ticket' | 'later' | 'never';

/**
 * Why a request was refused or its outcome is unknown. The keeper is the daemon through which all
 * requests to a shard's targets go.
 */
export type OutcomeReason =
  | 'answered'
  | 'route-unknown'
  | 'no-configuration'
  | 'ticket-required'
  | 'ticket-malformed'
  | 'ticket-mismatch'
  | 'ticket-expired'
  | 'ticket-capacity'
  | 'first-not-run'
  | 'request-too-large'
  | 'request-too-slow'
  | 'queue-full'
  | 'queue-deadline'
  | 'order-window-full'
  | 'held-back'
  | 'no-target'
  | 'keeper-unreachable'
  | 'keeper-changed'
  | 'keeper-doubts-itself'
  | 'stopping'
  | 'stopped'
  | 'connect-failed'
  | 'target-shed'
  | 'caller-cancelled'
  | 'target-broke-off'
  | 'target-timeout'
  | 'keeper-lost'
  | 'owner-gone'
  | 'owner-unreachable'
  | 'answer-not-kept'
  | 'ticket-forgotten'
  | 'request-incomplete';

/** How a reason is reported to the caller. */
export interface OutcomeRule {
  readonly kind: OutcomeKind;
  readonly status: number;
  readonly advice: RetryAdvice;
  /** Value of the Retry-After header; 0 omits the header. */
  readonly retryAfterSeconds: number;
  readonly meaning: string;
}

type RuleRow = readonly [OutcomeKind, number, RetryAdvice, number, string];

const ROWS: Readonly<Record<OutcomeReason, RuleRow>> = {
  answered: ['answered', 200, 'never', 0, "the upstream's whole answer, with its own status"],
  'route-unknown': ['not-run', 404, 'never', 0, 'no route in force matches the request'],
  'no-configuration': ['not-run', 503, 'later', 1, 'this host has no configuration yet'],
  'ticket-required': [
    'not-run',
    428,
    'fresh-ticket',
    0,
    'a request of a non-idempotent route carried no ticket; one is in the answer',
  ],
  'ticket-malformed': ['not-run', 400, 'fresh-ticket', 0, 'the ticket is not one of this system'],
  'ticket-mismatch': [
    'not-run',
    409,
    'fresh-ticket',
    0,
    'the ticket was used for another request: method, path, body or caller differ',
  ],
  'ticket-expired': [
    'not-run',
    409,
    'fresh-ticket',
    0,
    'the ticket ran out and was never used: nothing ran',
  ],
  'ticket-capacity': ['not-run', 503, 'later', 1, 'the ledger of tickets is full of live requests'],
  'first-not-run': [
    'not-run',
    503,
    'same-ticket',
    0,
    'the sending that this one joined was proved not to have run',
  ],
  'request-too-large': [
    'not-run',
    413,
    'never',
    0,
    'the body of a non-idempotent request is over the limit',
  ],
  'request-too-slow': ['not-run', 408, 'same-ticket', 0, 'the body did not come in time'],
  'queue-full': ['not-run', 503, 'same-ticket', 1, 'the queue of the service is full'],
  'queue-deadline': [
    'not-run',
    503,
    'same-ticket',
    1,
    'no slot came free before the deadline, or surely would not have',
  ],
  'order-window-full': [
    'not-run',
    429,
    'same-ticket',
    1,
    'the deposits of this order window are used up',
  ],
  'held-back': [
    'not-run',
    409,
    'never',
    0,
    'this request broke the targets that ran it and is held back',
  ],
  'no-target': ['not-run', 503, 'same-ticket', 1, 'no target of the service may receive work'],
  'keeper-unreachable': [
    'not-run',
    503,
    'same-ticket',
    1,
    'no connection to the daemon that keeps the targets',
  ],
  'keeper-changed': [
    'not-run',
    503,
    'same-ticket',
    1,
    'the daemon that was asked does not keep these targets',
  ],
  'keeper-doubts-itself': [
    'not-run',
    503,
    'same-ticket',
    1,
    'the keeper was paused or cut off and has not yet heard from its peers again',
  ],
  stopping: ['not-run', 503, 'fresh-ticket', 1, 'the host is leaving: take another one'],
  stopped: [
    'unknown',
    502,
    'same-ticket',
    0,
    'the host is leaving; this request, or an earlier one with its ticket, may have run',
  ],
  'connect-failed': ['not-run', 503, 'same-ticket', 1, 'no connection to any target'],
  'target-shed': ['not-run', 503, 'same-ticket', 1, 'the target said that it did not run it'],
  'caller-cancelled': ['not-run', 499, 'same-ticket', 0, 'the caller went away first'],
  'target-broke-off': ['unknown', 502, 'same-ticket', 0, 'the target broke off after it was asked'],
  'target-timeout': ['unknown', 504, 'same-ticket', 0, 'the target did not answer in time'],
  'keeper-lost': ['unknown', 502, 'same-ticket', 0, 'the keeper was lost after it was asked'],
  'owner-gone': [
    'unknown',
    502,
    'never',
    0,
    'the daemon that the ticket names is gone, and its memory with it',
  ],
  'owner-unreachable': [
    'unknown',
    504,
    'same-ticket',
    2,
    'the daemon that the ticket names does not answer now',
  ],
  'answer-not-kept': ['unknown', 410, 'never', 0, 'it ran; the answer is no longer held'],
  'ticket-forgotten': [
    'unknown',
    410,
    'never',
    0,
    'the ticket is older than the memory of its daemon',
  ],
  'request-incomplete': [
    'unknown',
    400,
    'same-ticket',
    0,
    'this sending was cut, too slow or too large, and an earlier one may have run',
  ],
};

/** For each reason, what it means and how it is reported to the caller. */
export const OUTCOME_RULES = Object.freeze(
  Object.fromEntries(
    Object.entries(ROWS).map(([reason, [kind, status, advice, retryAfterSeconds, meaning]]) => [
      reason,
      { kind, status, advice, retryAfterSeconds, meaning },
    ]),
  ) as Record<OutcomeReason, OutcomeRule>,
);

export function isOutcomeReason(text: string): text is OutcomeReason {
  return Object.hasOwn(OUTCOME_RULES, text);
}
