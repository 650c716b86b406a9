export { CactusrunError, describeError } from './CactusrunError.js';
export { systemClock } from './Clock.js';
export { default as boundedOutput } from './boundedOutput.js';
export { default as Counters } from './Counters.js';
export { default as EventChannel } from './EventChannel.js';
export { invariant, InvariantError } from './invariant.js';
export { default as ManualClock } from './ManualClock.js';
export { createLogger, silentLogger } from './Logger.js';
export { isOutcomeReason, OUTCOME_RULES } from './Outcome.js';
export { default as parseAddress } from './parseAddress.js';
export { createRandom, pickOne, shuffle } from './Random.js';
export { startRepeatedTask } from './RepeatedTask.js';
export { divideGraceTime } from './StopTimes.js';
export { inSequence, mergeStops, repeatUntilAborted, startTask } from './Task.js';
export { default as Timing } from './Timing.js';
export { floorOf } from './DomainTypes.js';
export type { Clock } from './Clock.js';
export type { CounterReading } from './Counters.js';
export type { ErrorContext } from './CactusrunError.js';
export type { LogFields, Logger } from './Logger.js';
export type { OutcomeKind, OutcomeReason, OutcomeRule, RetryAdvice } from './Outcome.js';
export type { SocketAddress } from './parseAddress.js';
export type { Random } from './Random.js';
export type { RepeatedTask } from './RepeatedTask.js';
export type { StopTimes } from './StopTimes.js';
export type { Stop } from './Task.js';
export type { TimingSummary } from './Timing.js';
export type {
  Contract,
  EjectionCaution,
  Host,
  Priority,
  RequestClass,
  Route,
  Target,
} from './DomainTypes.js';
export type {
  ConnectionAge,
  Observation,
  ObservedResult,
  TargetState,
  TargetHealth,
} from './TargetHealth.js';
