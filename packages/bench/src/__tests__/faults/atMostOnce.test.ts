import process from 'node:process';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Random } from '@cactusrun/core';
import { createRandom, pickOne, systemClock } from '@cactusrun/core';
import type { CallResult } from '../../Caller.js';
import Caller from '../../Caller.js';
import { DEPLOYMENTS } from '../../Deployment.js';
import ProcessFleet from './ProcessFleet.js';

const SEED = Number(process.env.SEED ?? 1);
const REQUESTS = Number(process.env.REQUESTS ?? 20_000);
const CALLERS = 48;
const DAEMONS = 6;
const MAXIMUM_SENDINGS = 4;
/** Wrong orders that are printed with all that is known of them. */
const EXAMPLES = 3;
const FAULT_GAP_MILLISECONDS = 500;

interface Sending extends CallResult {
  readonly toldAt: number;
}

interface Order {
  readonly identity: string;
  readonly sendings: readonly Sending[];
}

type FaultAction = (fleet: ProcessFleet, random: Random) => Promise<void>;

const pause = (milliseconds: number) => systemClock.sleep(milliseconds);

function anyRunning(fleet: ProcessFleet, random: Random) {
  return pickOne(
    random,
    fleet.daemons.filter((daemon) => !daemon.isPaused && daemon.process.exitCode === null),
  );
}

const FAULTS: Readonly<Record<string, FaultAction>> = {
  kill: async (fleet, random) => {
    const daemon = anyRunning(fleet, random);
    if (daemon === undefined) return;
    daemon.isPaused = true;
    fleet.signal(daemon.index, 'SIGKILL');
    await fleet.ended(daemon.index);
    await pause(500 + random.below(2_000));
    await fleet.replace(daemon.index);
  },
  freeze: async (fleet, random) => {
    const daemon = anyRunning(fleet, random);
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
    pickOne(random, fleet.links)?.muteOpenConnections();
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

describe('orders at most once, with real processes', () => {
  const deployment = DEPLOYMENTS.kreupelhout;
  const fleet = new ProcessFleet(deployment, DAEMONS, SEED, 10);
  const random = createRandom(SEED + 1);
  const faultCounts = new Map<string, number>();
  let isOver = false;

  beforeAll(() => fleet.start());

  afterAll(() => fleet.stop());

  async function keepFaulting(): Promise<void> {
    const active: Promise<void>[] = [];
    while (!isOver) {
      // eslint-disable-next-line no-await-in-loop
      await pause(FAULT_GAP_MILLISECONDS * (0.5 + random.unit()));
      const name = pickOne(random, Object.keys(FAULTS))!;
      faultCounts.set(name, (faultCounts.get(name) ?? 0) + 1);
      active.push(FAULTS[name]!(fleet, random));
    }
    await Promise.all(active);
  }

  async function order(caller: Caller, number: number): Promise<Order> {
    const identity = `order-${number}`;
    const body = Buffer.from(`{"order":${number}}`);
    const sendings: Sending[] = [];
    const entries = fleet.daemons.map(({ callers }) => callers);
    let ticket: string | undefined;
    const sendOnce = async (): Promise<void> => {
      const answer =
        ticket === undefined ? await caller.freshTicket(deployment.order.service) : undefined;
      ticket ??= answer?.ticket;
      const isNear = random.unit() < 0.7;
      const address =
        isNear && answer !== undefined ? answer.ticketAddress : pickOne(random, entries)!;
      const call = { ...deployment.order, method: 'POST' as const, body, identity, address };
      const result = await caller.call({ ...call, ...(ticket === undefined ? {} : { ticket }) });
      sendings.push({ ...result, toldAt: systemClock.now() });
      if (result.advice === 'fresh-ticket') ticket = undefined;
    };
    const isOpen = () => {
      const last = sendings.at(-1);
      if (last === undefined) return true;
      const mayAgain = last.outcome === 'cut' || last.advice !== 'never';
      const sendsDouble = last.outcome === 'answered' && random.unit() < 0.1;
      return (
        sendings.length < MAXIMUM_SENDINGS && (last.outcome === 'answered' ? sendsDouble : mayAgain)
      );
    };
    while (isOpen()) {
      // eslint-disable-next-line no-await-in-loop
      await sendOnce().catch(() => pause(100));
    }
    return { identity, sendings };
  }

  it(`runs none of ${REQUESTS} orders twice and tells the truth of each`, async () => {
    const faulting = keepFaulting();
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
        orders.push(await order(caller, next));
      }
      await caller.close();
    };
    await Promise.all(Array.from({ length: CALLERS }, worker));
    isOver = true;
    await faulting;
    await pause(11_000);

    const runs = new Map<string, number[]>();
    fleet.upstreams.forEach((upstream) =>
      upstream.runs.forEach(({ identity, startedAt: at }) =>
        runs.set(identity, [...(runs.get(identity) ?? []), at]),
      ),
    );
    const last = (sent: Order) => sent.sendings.at(-1);
    const ranTwice = orders.filter(({ identity }) => (runs.get(identity)?.length ?? 0) > 1);
    const falseNotRun = orders.filter(({ identity, sendings }) =>
      sendings.some(({ outcome, reason, toldAt }, index) => {
        if (outcome !== 'not-run' || reason === 'ticket-mismatch') return false;
        const isLast = index === sendings.length - 1;
        return (runs.get(identity) ?? []).some((at) => isLast || at <= toldAt);
      }),
    );
    const wrong = orders.filter(({ sendings }) => sendings.some(({ isWrong }) => isWrong));
    const claimed = orders.filter(
      (sent) => last(sent)?.outcome === 'answered' && runs.get(sent.identity) === undefined,
    );
    const count = (outcome: string) =>
      orders.filter((sent) => last(sent)?.outcome === outcome).length;
    const reasons = new Map<string, number>();
    orders
      .filter((sent) => last(sent)?.outcome !== 'answered')
      .forEach((sent) => {
        const key = `${last(sent)?.outcome} ${last(sent)?.reason}`;
        reasons.set(key, (reasons.get(key) ?? 0) + 1);
      });
    const figures = {
      seed: SEED,
      orders: orders.length,
      sendings: orders.reduce((sum, { sendings }) => sum + sendings.length, 0),
      seconds: Math.round((systemClock.now() - startedAt) / 1_000),
      answered: count('answered'),
      notRun: count('not-run'),
      unknown: count('unknown'),
      cut: count('cut'),
      ranTwice: ranTwice.length,
      falseNotRun: falseNotRun.length,
      wrongAnswers: wrong.length,
      answeredWithoutRun: claimed.length,
      reasons: Object.fromEntries(reasons),
      faults: Object.fromEntries(faultCounts),
    };
    process.stdout.write(`${JSON.stringify(figures)}\n`);
    [...ranTwice, ...falseNotRun, ...wrong].slice(0, EXAMPLES).forEach(({ identity, sendings }) => {
      const places = [...fleet.upstreams].flatMap(([target, upstream]) =>
        upstream.runs
          .filter((run) => run.identity === identity)
          .map(({ startedAt: at, isWhole }) => ({ target, at, isWhole })),
      );
      process.stdout.write(`${JSON.stringify({ sendings, places })}\n`);
    });
    expect(ranTwice.map(({ identity }) => identity)).toEqual([]);
    expect(falseNotRun.map(({ identity }) => identity)).toEqual([]);
    expect(wrong.map(({ identity }) => identity)).toEqual([]);
    expect(claimed.map(({ identity }) => identity)).toEqual([]);
    expect(figures.answered).toBeGreaterThan(REQUESTS / 2);
  }, 900_000);
});
