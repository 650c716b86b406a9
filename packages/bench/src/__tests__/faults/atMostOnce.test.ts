import process from 'node:process';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Random } from '@cactusrun/core';
import { createRandom, pickOne, systemClock } from '@cactusrun/core';
import type { CallerResult } from '../../Caller.js';
import Caller from '../../Caller.js';
import { DEPLOYMENTS } from '../../Deployment.js';
import ProcessFleet from './ProcessFleet.js';

const SEED = Number(process.env.SEED ?? 1);
const REQUESTS = Number(process.env.REQUESTS ?? 20_000);
const CALLERS = 48;
const DAEMONS = 6;
const MAXIMUM_ATTEMPTS = 4;
/** Number of failed orders that are printed with their attempts and runs. */
const PRINTED_FAILURES = 3;
const MEAN_FAULT_INTERVAL_MILLISECONDS = 500;

interface OrderAttempt extends CallerResult {
  readonly toldAt: number;
}

interface Order {
  readonly identity: string;
  readonly attempts: readonly OrderAttempt[];
}

type FaultAction = (fleet: ProcessFleet, random: Random) => Promise<void>;

const pause = (milliseconds: number) => systemClock.sleep(milliseconds);

function pickRunningDaemon(fleet: ProcessFleet, random: Random) {
  return pickOne(
    random,
    fleet.daemons.filter((daemon) => !daemon.isPaused && daemon.process.exitCode === null),
  );
}

const FAULTS: Readonly<Record<string, FaultAction>> = {
  kill: async (fleet, random) => {
    const daemon = pickRunningDaemon(fleet, random);
    if (daemon === undefined) return;
    daemon.isPaused = true;
    fleet.signal(daemon.index, 'SIGKILL');
    await fleet.waitForExit(daemon.index);
    await pause(500 + random.below(2_000));
    await fleet.restart(daemon.index);
  },
  freeze: async (fleet, random) => {
    const daemon = pickRunningDaemon(fleet, random);
    if (daemon === undefined) return;
    daemon.isPaused = true;
    fleet.signal(daemon.index, 'SIGSTOP');
    await pause(500 + random.below(5_000));
    fleet.signal(daemon.index, 'SIGCONT');
    daemon.isPaused = false;
  },
  'one-way silence': async (fleet, random) => {
    const link = pickOne(random, fleet.links);
    if (link === undefined) return;
    link.faults.silentDirections = [random.unit() < 0.5 ? 'forward' : 'backward'];
    await pause(500 + random.below(3_000));
    link.faults.silentDirections = [];
  },
  'connections fall silent': async (fleet, random) => {
    pickOne(random, fleet.links)?.silenceOpenConnections();
  },
  'target crash': async (fleet, random) => {
    await pickOne(random, [...fleet.upstreams.values()])?.crash();
  },
  'target stall': async (fleet, random) => {
    const upstream = pickOne(random, [...fleet.upstreams.values()]);
    if (upstream === undefined) return;
    upstream.faults.stalls = true;
    await pause(1_000 + random.below(2_000));
    upstream.faults.stalls = false;
  },
  'answers cut': async (fleet, random) => {
    const upstream = pickOne(random, [...fleet.upstreams.values()]);
    if (upstream === undefined) return;
    upstream.faults.cutsAnswers = true;
    await pause(500);
    upstream.faults.cutsAnswers = false;
  },
  'platform down': async (fleet) => {
    Object.assign(fleet.platform.faults, { isDown: true });
    await pause(3_000);
    Object.assign(fleet.platform.faults, { isDown: false });
  },
};

describe('at-most-once execution of orders, with real processes', () => {
  const deployment = DEPLOYMENTS.kreupelhout;
  const fleet = new ProcessFleet(deployment, DAEMONS, SEED, 10);
  const random = createRandom(SEED + 1);
  const faultCounts = new Map<string, number>();
  let isLoadDone = false;

  beforeAll(() => fleet.start());

  afterAll(() => fleet.stop());

  async function injectFaults(): Promise<void> {
    const active: Promise<void>[] = [];
    while (!isLoadDone) {
      // eslint-disable-next-line no-await-in-loop
      await pause(MEAN_FAULT_INTERVAL_MILLISECONDS * (0.5 + random.unit()));
      const name = pickOne(random, Object.keys(FAULTS))!;
      faultCounts.set(name, (faultCounts.get(name) ?? 0) + 1);
      active.push(FAULTS[name]!(fleet, random));
    }
    await Promise.all(active);
  }

  async function sendOrder(caller: Caller, orderNumber: number): Promise<Order> {
    const identity = `order-${orderNumber}`;
    const body = Buffer.from(`{"order":${orderNumber}}`);
    const attempts: OrderAttempt[] = [];
    const entries = fleet.daemons.map(({ callers }) => callers);
    let ticket: string | undefined;
    const sendOnce = async (): Promise<void> => {
      const answer =
        ticket === undefined ? await caller.requestTicket(deployment.order.service) : undefined;
      ticket ??= answer?.ticket;
      const usesTicketAddress = random.unit() < 0.7;
      const address =
        usesTicketAddress && answer?.ticketAddress !== undefined
          ? answer.ticketAddress
          : pickOne(random, entries)!;
      const call = { ...deployment.order, method: 'POST' as const, body, identity, address };
      const result = await caller.send({
        ...call,
        ...(ticket === undefined ? {} : { ticket }),
      });
      attempts.push({ ...result, toldAt: systemClock.now() });
      if (result.advice === 'fresh-ticket') ticket = undefined;
    };
    const shouldSend = () => {
      const last = attempts.at(-1);
      if (last === undefined) return true;
      const mayRetry = last.outcome === 'cut' || last.advice !== 'never';
      const sendsDuplicate = last.outcome === 'answered' && random.unit() < 0.1;
      return (
        attempts.length < MAXIMUM_ATTEMPTS &&
        (last.outcome === 'answered' ? sendsDuplicate : mayRetry)
      );
    };
    while (shouldSend()) {
      // eslint-disable-next-line no-await-in-loop
      await sendOnce().catch(() => pause(100));
    }
    return { identity, attempts };
  }

  it(`runs none of ${REQUESTS} orders twice and reports each outcome correctly`, async () => {
    const faultInjection = injectFaults();
    const orders: Order[] = [];
    let next = 0;
    const startedAt = systemClock.now();
    const worker = async (): Promise<void> => {
      const caller = new Caller(
        fleet.daemons.map(({ callers }) => callers),
        'east-a',
        systemClock,
      );
      while (next < REQUESTS) {
        next += 1;
        // eslint-disable-next-line no-await-in-loop
        orders.push(await sendOrder(caller, next));
      }
      await caller.close();
    };
    await Promise.all(Array.from({ length: CALLERS }, worker));
    isLoadDone = true;
    await faultInjection;
    await pause(11_000);

    const runs = new Map<string, number[]>();
    fleet.upstreams.forEach((upstream) =>
      upstream.runs.forEach(({ identity, startedAt: at }) =>
        runs.set(identity, [...(runs.get(identity) ?? []), at]),
      ),
    );
    const lastAttempt = (order: Order) => order.attempts.at(-1);
    const ranTwice = orders.filter(({ identity }) => (runs.get(identity)?.length ?? 0) > 1);
    const falseNotRun = orders.filter(({ identity, attempts }) =>
      attempts.some(({ outcome, reason, toldAt }, index) => {
        if (outcome !== 'not-run' || reason === 'ticket-mismatch') return false;
        const isLast = index === attempts.length - 1;
        return (runs.get(identity) ?? []).some((at) => isLast || at <= toldAt);
      }),
    );
    const wrongAnswers = orders.filter(({ attempts }) => attempts.some(({ isWrong }) => isWrong));
    const answeredWithoutRun = orders.filter(
      (order) =>
        lastAttempt(order)?.outcome === 'answered' && runs.get(order.identity) === undefined,
    );
    const count = (outcome: string) =>
      orders.filter((order) => lastAttempt(order)?.outcome === outcome).length;
    const reasons = new Map<string, number>();
    orders
      .filter((order) => lastAttempt(order)?.outcome !== 'answered')
      .forEach((order) => {
        const key = `${lastAttempt(order)?.outcome} ${lastAttempt(order)?.reason}`;
        reasons.set(key, (reasons.get(key) ?? 0) + 1);
      });
    const figures = {
      seed: SEED,
      orders: orders.length,
      sendings: orders.reduce((sum, { attempts }) => sum + attempts.length, 0),
      seconds: Math.round((systemClock.now() - startedAt) / 1_000),
      answered: count('answered'),
      notRun: count('not-run'),
      unknown: count('unknown'),
      cut: count('cut'),
      ranTwice: ranTwice.length,
      falseNotRun: falseNotRun.length,
      wrongAnswers: wrongAnswers.length,
      answeredWithoutRun: answeredWithoutRun.length,
      reasons: Object.fromEntries(reasons),
      faults: Object.fromEntries(faultCounts),
    };
    process.stdout.write(`${JSON.stringify(figures)}\n`);
    [...ranTwice, ...falseNotRun, ...wrongAnswers]
      .slice(0, PRINTED_FAILURES)
      .forEach(({ identity, attempts }) => {
        const executions = [...fleet.upstreams].flatMap(([target, upstream]) =>
          upstream.runs
            .filter((run) => run.identity === identity)
            .map(({ startedAt: at, isWhole }) => ({ target, at, isWhole })),
        );
        process.stdout.write(`${JSON.stringify({ sendings: attempts, places: executions })}\n`);
      });
    expect(ranTwice.map(({ identity }) => identity)).toEqual([]);
    expect(falseNotRun.map(({ identity }) => identity)).toEqual([]);
    expect(wrongAnswers.map(({ identity }) => identity)).toEqual([]);
    expect(answeredWithoutRun.map(({ identity }) => identity)).toEqual([]);
    expect(figures.answered).toBeGreaterThan(REQUESTS / 2);
  }, 900_000);
});
