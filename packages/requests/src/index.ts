export { refusal } from './Attempt.js';
export { default as CrashTracker, CRASHES_TO_HOLD, HOLD_MILLISECONDS } from './CrashTracker.js';
export { default as discardBody } from './discardBody.js';
export { endToEndHeaders, listHeaders } from './headerFields.js';
export { default as OrderWindow, shareOfDeposits } from './OrderWindow.js';
export { default as refuseMalformed } from './refuseMalformed.js';
export { default as RetryBudget } from './RetryBudget.js';
export { default as RouteTable } from './RouteTable.js';
export { default as ShardKeeper } from './ShardKeeper.js';
export { default as SlotQueue } from './SlotQueue.js';
export { default as TicketIssuer, readTicket } from './Ticket.js';
export {
  default as TicketLedger,
  DEFAULT_LEDGER_LIMITS,
  TICKET_LIFETIME_MILLISECONDS,
} from './TicketLedger.js';
export type {
  Answered,
  Attempt,
  AttemptResult,
  HeaderField,
  Refused,
  RequestBody,
  ShardLoad,
} from './Attempt.js';
export type { OrderWindowUse } from './OrderWindow.js';
export type { ResolvedRoute } from './RouteTable.js';
export type { ShardKeeperOptions } from './ShardKeeper.js';
export type { TargetConnector, TargetResult } from './TargetConnector.js';
export type { TicketFields } from './Ticket.js';
export type {
  AdmittedRun,
  Admission,
  KeptAnswer,
  LedgerEntry,
  RunEnd,
  TicketLedgerLimits,
  TicketUse,
} from './TicketLedger.js';
