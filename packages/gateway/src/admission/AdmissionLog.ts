/**
 * What an operator sees of an overload: counters by priority and by workspace, the number of waiting
 * requests, and a log line a second for each service while requests are refused.
 */
import type { Clock, Counters, Logger } from '@cactusrun/core';
import type { ShedReason } from './AdmissionQuery.js';
import type { Refusal, WaitingRequest } from './ServiceAdmission.js';

const SUMMARY_INTERVAL_MILLISECONDS = 1_000;
/** Priorities from this one on, and workspaces beyond this number, share one label. */
const LABELLED_PRIORITIES = 8;
const LABELLED_WORKSPACES = 100;
const OTHER_LABEL = 'other';
const NO_WORKSPACE_LABEL = 'none';
/** Counts of one sort that a log line gives, the largest ones. */
const LOGGED_COUNTS = 4;

interface Summary {
  readonly since: number;
  readonly refused: Map<ShedReason, number>;
  readonly priorities: Map<string, number>;
  readonly workspaces: Map<string, number>;
}

export interface AdmissionLogParts {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class AdmissionLog {
  private readonly summaries = new Map<string, Summary>();

  private readonly workspaceLabels = new Set<string>();

  constructor(private readonly parts: AdmissionLogParts) {}

  /** Records that a request was admitted after a wait. */
  public recordAdmitted({ query, arrivedAt }: WaitingRequest): void {
    const { clock, counters } = this.parts;
    counters.add('admission_waited', priorityLabel(query.priority));
    counters.time('admission_wait', Math.round(clock.now() - arrivedAt));
  }

  /** @param waiting - number of requests that wait for the service */
  public recordRefused(refusal: Refusal, waiting: number): void {
    const { counters } = this.parts;
    const {
      request: { query },
      reason,
    } = refusal;
    this.logRefusal(refusal);
    const priority = priorityLabel(query.priority);
    const workspace = this.workspaceLabel(query.workspace);
    counters.add('admission_refused', `${priority}-${reason}`);
    counters.add('admission_refused_by_workspace', workspace);
    const summary = this.summaryOf(query.service);
    increment(summary.refused, reason);
    increment(summary.priorities, priority);
    increment(summary.workspaces, workspace);
    this.logSummary(query.service, summary, waiting);
  }

  /** Records the number of requests that wait, for all services. */
  public recordWaiting(waiting: number): void {
    this.parts.counters.set('admission_waiting', waiting);
  }

  private logRefusal({ request, reason, expectedMilliseconds }: Refusal): void {
    const { query, arrivedAt } = request;
    const now = this.parts.clock.now();
    this.parts.logger.info('request-unplaced', {
      request: query.id,
      service: query.service,
      outcome: reason,
      priority: query.priority,
      workspace: query.workspace,
      waitedMilliseconds: Math.round(now - arrivedAt),
      remainingMilliseconds: Math.round(query.deadline - now),
      expectedMilliseconds: Math.round(expectedMilliseconds),
    });
  }

  private summaryOf(service: string): Summary {
    const summary = this.summaries.get(service) ?? createSummary(Number.NEGATIVE_INFINITY);
    this.summaries.set(service, summary);
    return summary;
  }

  private logSummary(service: string, summary: Summary, waiting: number): void {
    const now = this.parts.clock.now();
    if (now - summary.since < SUMMARY_INTERVAL_MILLISECONDS) return;
    this.parts.logger.info('service-overloaded', {
      service,
      waiting,
      refused: describeCounts(summary.refused),
      priorities: describeCounts(summary.priorities),
      workspaces: describeCounts(summary.workspaces),
    });
    this.summaries.set(service, createSummary(now));
  }

  private workspaceLabel(workspace: string | undefined): string {
    if (workspace === undefined) return NO_WORKSPACE_LABEL;
    const isKnown = this.workspaceLabels.has(workspace);
    if (!isKnown && this.workspaceLabels.size >= LABELLED_WORKSPACES) return OTHER_LABEL;
    this.workspaceLabels.add(workspace);
    return workspace;
  }
}

function createSummary(since: number): Summary {
  return { since, refused: new Map(), priorities: new Map(), workspaces: new Map() };
}

function priorityLabel(priority: number): string {
  return `priority-${priority < LABELLED_PRIORITIES ? priority : OTHER_LABEL}`;
}

/** The largest counts as text: `name 3, other 1`. */
function describeCounts(counts: ReadonlyMap<string, number>): string {
  return [...counts]
    .sort(([, left], [, right]) => right - left)
    .slice(0, LOGGED_COUNTS)
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
}

function increment<Key>(counts: Map<Key, number>, key: Key): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
