/** Explains the outcome of a request from the log lines of the fleet's daemons. */
import type { LogEntry } from './LogEntry.js';

/** Log lines this close before or after a request's end may be related to it. */
const NEARBY_MILLISECONDS = 10_000;

export interface Explanation {
  readonly request: string;
  /** How the request ended, in a few words. */
  readonly outcome: string;
  readonly cause: string;
  /** The lines about the request, oldest first. */
  readonly lines: readonly LogEntry[];
  /** Lines about its targets and its service around that time, oldest first. */
  readonly nearby: readonly LogEntry[];
}

interface Evidence {
  readonly end: LogEntry;
  readonly lastFailedAttempt: LogEntry | undefined;
  readonly unplaced: LogEntry | undefined;
  readonly retry: LogEntry | undefined;
  readonly nearby: readonly LogEntry[];
}

type ExplainOutcome = (evidence: Evidence) => string;

function countEvents(entries: readonly LogEntry[], event: string): number {
  return entries.filter((entry) => entry.event === event).length;
}

function countDistinctTargets(entries: readonly LogEntry[], event: string): number {
  const names = entries
    .filter((entry) => entry.event === event)
    .map(({ fields }) => String(fields.target));
  return new Set(names).size;
}

function explainRetry(retry: LogEntry | undefined): string {
  if (retry === undefined) return 'It must run at most once and was not retried.';
  return `Retry decision: ${String(retry.fields.outcome)}.`;
}

function explainLost({ lastFailedAttempt, retry, nearby }: Evidence): string {
  if (lastFailedAttempt === undefined) return `No answer arrived in time. ${explainRetry(retry)}`;
  const { target, result, detail } = lastFailedAttempt.fields;
  const attempts = nearby.filter(
    (entry) => entry.event === 'call-failed' && entry.fields.target === target,
  ).length;
  const failure = detail === undefined ? String(result) : `${String(result)}, ${String(detail)}`;
  return (
    `Target ${String(target)} received the request and returned no complete answer (${failure}): ` +
    `it may have run. ${attempts - 1} other attempts to that target failed around that time. ${explainRetry(retry)}`
  );
}

function explainFailedAnswer({ lastFailedAttempt, retry, nearby }: Evidence): string {
  if (lastFailedAttempt === undefined) return 'A target answered with an error.';
  const { target, status, failureProbability, targetSeenMilliseconds, due } =
    lastFailedAttempt.fields;
  const suspected = nearby.find(
    (entry) => entry.event === 'target-suspected' && entry.fields.target === target,
  );
  const suspicion =
    suspected === undefined
      ? 'No daemon suspected it around that time: an isolated failure.'
      : `It was suspected at ${new Date(suspected.time).toISOString()} (${String(
          suspected.fields.source,
        )}).`;
  const trial =
    due === undefined ? '' : ` It was a trial request to an idle target (${String(due)}).`;
  return (
    `Target ${String(target)} answered ${String(status)}. Estimated failure probability when it ` +
    `was chosen: ${String(failureProbability)}, last observed ${String(
      targetSeenMilliseconds,
    )} ms before.${trial} ${suspicion} ${explainRetry(retry)}`
  );
}

function explainOverload({ unplaced, nearby }: Evidence): string {
  const { expectedMilliseconds, remainingMilliseconds, service } = unplaced?.fields ?? {};
  const suspectedTargets = countDistinctTargets(nearby, 'target-suspected');
  const unreachedTargets = countDistinctTargets(nearby, 'target-unreached');
  const cause =
    suspectedTargets + unreachedTargets > 0
      ? `${suspectedTargets} targets were suspected and ${unreachedTargets} could not be reached around that time`
      : 'no target was suspected around that time: the load exceeded the slots';
  return `No target of ${String(service)} would have answered in time: ${String(
    expectedMilliseconds,
  )} ms expected, ${String(remainingMilliseconds)} ms remaining. It has not run; ${cause}.`;
}

function explainWithoutTarget({ nearby }: Evidence): string {
  const failedConnections = countEvents(nearby, 'target-unreached');
  return `No target could accept it (${failedConnections} connections to targets failed around that time). It has not run.`;
}

/** Explanations by the result or refusal reason that ended the request. */
const EXPLANATIONS: Readonly<Record<string, ExplainOutcome>> = {
  overloaded: explainOverload,
  'rate-limited': ({ end }) =>
    `The rate limits that the targets of ${String(end.fields.service)} state left no room. It has not run.`,
  'backing-off': ({ end }) =>
    `All targets of ${String(end.fields.service)} had asked daemon ${end.host} to back off. It has not run.`,
  'no-target': explainWithoutTarget,
  unreachable: explainWithoutTarget,
  'refused-by-targets': ({ retry }) =>
    `Targets refused it without running it. ${explainRetry(retry)} It has not run.`,
  'too-late': () => 'Its deadline passed before it could be sent. It has not run.',
  'held-back': () =>
    'Targets that ran this same request broke the connection: it is held back. It has not run.',
  timeout: explainLost,
  'connection-broke': explainLost,
  'unsigned-answer': explainLost,
  stopped: explainLost,
  stopping: ({ end }) => `Daemon ${end.host} was stopping. It has not run.`,
  answered: explainFailedAnswer,
  cancelled: () => 'The caller cancelled it before an answer arrived.',
  'no-configuration': ({ end }) =>
    `Daemon ${end.host} had no configuration or no registry yet. It has not run.`,
  'no-route': ({ end }) =>
    `No route of configuration ${String(end.fields.version)} matches it. It has not run.`,
};

const END_EVENTS: readonly string[] = ['request-failed', 'request-refused', 'request-answered'];

/** Explains how a request ended and why; undefined when no line says how it ended. */
export default function explainRequest(
  entries: readonly LogEntry[],
  request: string,
): Explanation | undefined {
  const lines = entries
    .filter(({ fields }) => fields.request === request)
    .sort((left, right) => left.time - right.time);
  const end = lines.findLast(({ event }) => END_EVENTS.includes(event));
  if (end === undefined) return undefined;
  const nearby = findNearby(entries, lines, end);
  const evidence = {
    end,
    lastFailedAttempt: lines.findLast(({ event }) => event === 'call-failed'),
    unplaced: lines.findLast(({ event }) => event === 'request-unplaced'),
    retry: lines.findLast(({ event }) => event === 'request-retry'),
    nearby,
  };
  const isSuccess = end.event === 'request-answered';
  const reason = String(end.fields.result ?? end.fields.reason);
  const explain = EXPLANATIONS[reason];
  return {
    request,
    outcome: isSuccess ? 'answered' : reason,
    cause: isSuccess || explain === undefined ? 'It was answered.' : explain(evidence),
    lines,
    nearby,
  };
}

/** Lines of any daemon about the targets and the service of a request, around its end. */
function findNearby(
  entries: readonly LogEntry[],
  lines: readonly LogEntry[],
  end: LogEntry,
): readonly LogEntry[] {
  const targets = new Set(lines.map(({ fields }) => fields.target));
  targets.delete(undefined);
  const { service } = end.fields;
  const isRelated = ({ fields }: LogEntry) =>
    targets.has(fields.target) || (service !== undefined && fields.service === service);
  return entries
    .filter(({ time }) => Math.abs(time - end.time) <= NEARBY_MILLISECONDS)
    .filter(({ event }) => event.startsWith('target-') || event === 'call-failed')
    .filter(isRelated)
    .sort((left, right) => left.time - right.time);
}
