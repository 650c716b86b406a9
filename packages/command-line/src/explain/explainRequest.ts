/** From a request's id to its cause, by the lines that the daemons of a fleet logged. */
import type { LogEntry } from './LogEntry.js';

/** Time before and after a request's end in which other lines may bear on it. */
const NEARBY_MILLISECONDS = 10_000;

export interface Explanation {
  readonly request: string;
  /** How the request ended, in a few words. */
  readonly outcome: string;
  readonly cause: string;
  /** The lines on the request, oldest first. */
  readonly lines: readonly LogEntry[];
  /** Lines on its targets and its service around that time, oldest first. */
  readonly nearby: readonly LogEntry[];
}

interface Evidence {
  readonly end: LogEntry;
  readonly lastCall: LogEntry | undefined;
  readonly unplaced: LogEntry | undefined;
  readonly retry: LogEntry | undefined;
  readonly nearby: readonly LogEntry[];
}

type Explain = (evidence: Evidence) => string;

function count(entries: readonly LogEntry[], event: string): number {
  return entries.filter((entry) => entry.event === event).length;
}

function distinct(entries: readonly LogEntry[], event: string): number {
  const names = entries
    .filter((entry) => entry.event === event)
    .map(({ fields }) => String(fields.target));
  return new Set(names).size;
}

function explainRetry(retry: LogEntry | undefined): string {
  if (retry === undefined) return 'It must run once and was not repeated.';
  return `Whether it could be repeated: ${String(retry.fields.outcome)}.`;
}

function explainLost({ lastCall, retry, nearby }: Evidence): string {
  if (lastCall === undefined) return `No answer came in time. ${explainRetry(retry)}`;
  const { target, result, detail } = lastCall.fields;
  const others = nearby.filter(
    (entry) => entry.event === 'call-failed' && entry.fields.target === target,
  ).length;
  const what = detail === undefined ? String(result) : `${String(result)}, ${String(detail)}`;
  return (
    `Target ${String(target)} had the request and gave no whole answer (${what}): it may have run. ` +
    `${others - 1} other calls to that target failed around then. ${explainRetry(retry)}`
  );
}

function explainFailedAnswer({ lastCall, retry, nearby }: Evidence): string {
  if (lastCall === undefined) return 'A target answered with a failure.';
  const { target, status, failureProbability, targetSeenMilliseconds, due } = lastCall.fields;
  const suspected = nearby.find(
    (entry) => entry.event === 'target-suspected' && entry.fields.target === target,
  );
  const sick =
    suspected === undefined
      ? 'Nobody suspected it around then: a lone failure.'
      : `It was suspected at ${new Date(suspected.time).toISOString()} (${String(
          suspected.fields.source,
        )}).`;
  const trial = due === undefined ? '' : ` It was a trial of an idle target (${String(due)}).`;
  return (
    `Target ${String(target)} answered ${String(status)}. Expected chance of failure when it was ` +
    `chosen: ${String(failureProbability)}, from what was seen ${String(
      targetSeenMilliseconds,
    )} ms before.${trial} ${sick} ${explainRetry(retry)}`
  );
}

function explainOverload({ unplaced, nearby }: Evidence): string {
  const { expectedMilliseconds, remainingMilliseconds, service } = unplaced?.fields ?? {};
  const sick = distinct(nearby, 'target-suspected');
  const unreached = distinct(nearby, 'target-unreached');
  const cause =
    sick + unreached > 0
      ? `${sick} targets were suspected and ${unreached} not reached around then`
      : 'no target was suspected around then: more load than slots';
  return `No target of ${String(service)} would have answered in time: ${String(
    expectedMilliseconds,
  )} ms expected, ${String(remainingMilliseconds)} ms left. It has not run; ${cause}.`;
}

function explainWithoutTarget({ nearby }: Evidence): string {
  const unreached = count(nearby, 'target-unreached');
  return `No target could take it (${unreached} times none was reached around then). It has not run.`;
}

/** Causes by what the caller was told. */
const CAUSES: Readonly<Record<string, Explain>> = {
  overloaded: explainOverload,
  'no-target': explainWithoutTarget,
  unreachable: explainWithoutTarget,
  'refused-by-targets': ({ retry }) =>
    `Targets refused it without running it. ${explainRetry(retry)} It has not run.`,
  'too-late': () => 'Its time was over before it could be sent. It has not run.',
  'held-back': () => 'Targets that ran this very request broke: it is held back. It has not run.',
  timeout: explainLost,
  'connection-broke': explainLost,
  'unsigned-answer': explainLost,
  answered: explainFailedAnswer,
  cancelled: () => 'The caller left before there was an answer.',
  'no-configuration': ({ end }) =>
    `Daemon ${end.host} had no configuration or no registry yet. It has not run.`,
  'no-route': ({ end }) =>
    `No route of configuration ${String(end.fields.version)} matches it. It has not run.`,
};

const ENDS: readonly string[] = ['request-failed', 'request-refused', 'request-answered'];

/** What came of a request, and why; undefined when no line names how it ended. */
export default function explainRequest(
  entries: readonly LogEntry[],
  request: string,
): Explanation | undefined {
  const lines = entries
    .filter(({ fields }) => fields.request === request)
    .sort((left, right) => left.time - right.time);
  const end = lines.findLast(({ event }) => ENDS.includes(event));
  if (end === undefined) return undefined;
  const nearby = findNearby(entries, lines, end);
  const evidence = {
    end,
    lastCall: lines.findLast(({ event }) => event === 'call-failed'),
    unplaced: lines.findLast(({ event }) => event === 'request-unplaced'),
    retry: lines.findLast(({ event }) => event === 'request-retry'),
    nearby,
  };
  const isGood = end.event === 'request-answered';
  const reason = String(end.fields.result ?? end.fields.reason);
  const explain = CAUSES[reason];
  return {
    request,
    outcome: isGood ? 'answered' : reason,
    cause: isGood || explain === undefined ? 'It was answered.' : explain(evidence),
    lines,
    nearby,
  };
}

/** Lines on the targets and the service of a request, on any daemon, around its end. */
function findNearby(
  entries: readonly LogEntry[],
  lines: readonly LogEntry[],
  end: LogEntry,
): readonly LogEntry[] {
  const targets = new Set(lines.map(({ fields }) => fields.target));
  targets.delete(undefined);
  const { service } = end.fields;
  const concerns = ({ fields }: LogEntry) =>
    targets.has(fields.target) || (service !== undefined && fields.service === service);
  return entries
    .filter(({ time }) => Math.abs(time - end.time) <= NEARBY_MILLISECONDS)
    .filter(({ event }) => event.startsWith('target-') || event === 'call-failed')
    .filter(concerns)
    .sort((left, right) => left.time - right.time);
}
