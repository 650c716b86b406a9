/** Sends a mixed load of lookups, orders and uploads, and summarizes the results. */
import { Timing } from '@cactusrun/core';
import type Caller from './Caller.js';
import type { CallerResult } from './Caller.js';
import type { Deployment } from './Deployment.js';
import type Fleet from './Fleet.js';

export interface LoadOptions {
  readonly lookups: number;
  readonly orders: number;
  readonly uploads: number;
  readonly uploadBytes: number;
  /** Requests in flight at the same time. */
  readonly concurrency: number;
}

export interface LoadSummary {
  readonly requests: number;
  readonly answered: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly wrongAnswers: number;
  readonly ranTwice: number;
  readonly addedMilliseconds: { readonly p50: number; readonly p99: number };
}

type SendRequest = () => Promise<CallerResult>;

function planLoad(
  caller: Caller,
  deployment: Deployment,
  options: LoadOptions,
): readonly SendRequest[] {
  const { lookup, order, upload } = deployment;
  const uploadBody = Buffer.alloc(options.uploadBytes, 'shade');
  const repeat = (count: number, send: SendRequest) => Array.from({ length: count }, () => send);
  const sends = [
    ...repeat(options.lookups, () => caller.send({ ...lookup, method: 'GET' })),
    ...repeat(options.orders, () =>
      caller.send({ ...order, method: 'POST', body: Buffer.from('{"lamp":7}') }),
    ),
    ...repeat(options.uploads, () => caller.send({ ...upload, method: 'POST', body: uploadBody })),
  ];
  // Spreads the kinds of request evenly over the run.
  return sends
    .map((send, index) => ({ send, position: (index * 7919) % sends.length }))
    .sort((left, right) => left.position - right.position)
    .map(({ send }) => send);
}

/** Sends the requests with a limited number in flight. */
export async function runConcurrently(
  sends: readonly SendRequest[],
  concurrency: number,
): Promise<readonly CallerResult[]> {
  const results: CallerResult[] = [];
  let next = 0;
  const worker = async (): Promise<void> => {
    const send = sends[next];
    next += 1;
    if (send === undefined) return;
    results.push(await send());
    await worker();
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
  return results;
}

/** Number of identities that the targets of a fleet ran more than once. */
export function countDuplicateRuns(fleet: Fleet, identities: ReadonlySet<string>): number {
  const runs = new Map<string, number>();
  fleet.upstreams.forEach((upstream) => {
    upstream.runs.forEach(({ identity }) => runs.set(identity, (runs.get(identity) ?? 0) + 1));
  });
  return [...identities].filter((identity) => (runs.get(identity) ?? 0) > 1).length;
}

export function summarize(
  fleet: Fleet,
  results: readonly CallerResult[],
  identities: ReadonlySet<string>,
): LoadSummary {
  const added = new Timing();
  const count = (test: (result: CallerResult) => boolean) => results.filter(test).length;
  results
    .filter((result) => result.outcome === 'answered' && result.workMilliseconds > 0)
    .forEach((result) => added.record(Math.max(0, result.milliseconds - result.workMilliseconds)));
  const { p50, p99 } = added.summary();
  return {
    requests: results.length,
    answered: count((result) => result.outcome === 'answered'),
    notRun: count((result) => result.outcome === 'not-run'),
    unknown: count((result) => result.outcome === 'unknown' || result.outcome === 'cut'),
    wrongAnswers: count((result) => result.isWrong),
    ranTwice: countDuplicateRuns(fleet, identities),
    addedMilliseconds: { p50, p99 },
  };
}

/** Sends the load and summarizes it, including requests that targets ran more than once. */
export async function sendMixedLoad(
  fleet: Fleet,
  caller: Caller,
  deployment: Deployment,
  options: LoadOptions,
): Promise<LoadSummary> {
  const results = await runConcurrently(planLoad(caller, deployment, options), options.concurrency);
  return summarize(fleet, results, new Set(results.map((result) => result.identity)));
}
