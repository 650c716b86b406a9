/** A mixed load as the users describe it, and what came of it. */
import { Timing } from '@cactusrun/core';
import type Caller from './Caller.js';
import type { CallResult } from './Caller.js';
import type { Deployment } from './Deployment.js';
import type Fleet from './Fleet.js';

export interface LoadOptions {
  readonly lookups: number;
  readonly orders: number;
  readonly uploads: number;
  readonly uploadBytes: number;
  /** Requests under way at the same time. */
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

type Send = () => Promise<CallResult>;

function planLoad(caller: Caller, deployment: Deployment, options: LoadOptions): readonly Send[] {
  const { lookup, order, upload } = deployment;
  const sketch = Buffer.alloc(options.uploadBytes, 'shade');
  const repeat = (count: number, send: Send) => Array.from({ length: count }, () => send);
  const sends = [
    ...repeat(options.lookups, () => caller.call({ ...lookup, method: 'GET' })),
    ...repeat(options.orders, () =>
      caller.call({ ...order, method: 'POST', body: Buffer.from('{"lamp":7}') }),
    ),
    ...repeat(options.uploads, () => caller.call({ ...upload, method: 'POST', body: sketch })),
  ];
  // Spread the kinds evenly over the run.
  return sends
    .map((send, index) => ({ send, place: (index * 7919) % sends.length }))
    .sort((left, right) => left.place - right.place)
    .map(({ send }) => send);
}

/** Runs the sends with a bounded number under way. */
export async function runConcurrently(
  sends: readonly Send[],
  concurrency: number,
): Promise<readonly CallResult[]> {
  const results: CallResult[] = [];
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

/** How many identities a fleet's targets ran more than once. */
export function countRanTwice(fleet: Fleet, identities: ReadonlySet<string>): number {
  const runs = new Map<string, number>();
  fleet.upstreams.forEach((upstream) => {
    upstream.runs.forEach(({ identity }) => runs.set(identity, (runs.get(identity) ?? 0) + 1));
  });
  return [...identities].filter((identity) => (runs.get(identity) ?? 0) > 1).length;
}

export function summarize(
  fleet: Fleet,
  results: readonly CallResult[],
  once: ReadonlySet<string>,
): LoadSummary {
  const added = new Timing();
  const count = (test: (result: CallResult) => boolean) => results.filter(test).length;
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
    ranTwice: countRanTwice(fleet, once),
    addedMilliseconds: { p50, p99 },
  };
}

/** Sends the load and sums it up; orders and uploads must not have run twice. */
export async function sendMixedLoad(
  fleet: Fleet,
  caller: Caller,
  deployment: Deployment,
  options: LoadOptions,
): Promise<LoadSummary> {
  const results = await runConcurrently(planLoad(caller, deployment, options), options.concurrency);
  return summarize(fleet, results, new Set(results.map((result) => result.identity)));
}
