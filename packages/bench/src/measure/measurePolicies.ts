/**
 * Compares decisions of the keeper (the daemon through which all requests to a shard's targets go)
 * with baselines, on a simulated clock with model targets.
 */
import type { Contract, Random, TargetHealth } from '@cactusrun/core';
import { Counters, createRandom, inSequence, ManualClock, Timing } from '@cactusrun/core';
import type { Attempt, AttemptResult } from '@cactusrun/requests';
import { CrashTracker, ShardKeeper } from '@cactusrun/requests';
import ModelConnector from '../experiment/ModelConnector.js';
import { modelAttempt, modelContract } from '../experiment/modelService.js';
import ModelTarget from '../experiment/ModelTarget.js';
import { POLICIES } from '../experiment/policies.js';
import type { Section } from '../Measurement.js';
import { formatFigure } from '../Measurement.js';

const WORK_MILLISECONDS = 50;
const RUN_MILLISECONDS = 40_000;
const TARGETS = 9;
const SLOTS = 2;
const DAEMONS = 34;
const DEADLINE_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
const MAXIMUM_KEEPERS_TRIED = 3;

interface Setup {
  readonly clock: ManualClock;
  readonly random: Random;
  readonly contract: Contract;
  readonly models: ReadonlyMap<string, ModelTarget>;
  readonly health: TargetHealth;
}

/** Runs attempts: one keeper, or a static division of the slots among daemons. */
interface AttemptRunner {
  readonly run: (attempt: Attempt) => Promise<AttemptResult>;
}

export interface LoadResult {
  readonly sent: number;
  readonly onTime: number;
  readonly late: number;
  readonly p50: number;
  readonly p99: number;
  /** Fraction of the slots' time that was spent working. */
  readonly utilisation: number;
  readonly requestsOverLimit: number;
}

function createSetup(seed: number, retryBudgetPercent = 10): Setup {
  const clock = new ManualClock();
  const random = createRandom(seed);
  const contract = modelContract({
    targets: TARGETS,
    slots: SLOTS,
    floorPercent: 65,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    retryBudgetPercent,
    caution: 'swift',
  });
  const options = { slots: SLOTS, workMilliseconds: WORK_MILLISECONDS, clock, random };
  const models = new Map(contract.targets.map(({ name }) => [name, new ModelTarget(options)]));
  const { health } = POLICIES['likelihood-swift'](clock, contract);
  return { clock, random, contract, models, health };
}

function createKeeper(
  setup: Setup,
  contract: Contract,
  queueLimit?: (slots: number, holdMilliseconds: number) => number,
): ShardKeeper {
  const { clock, random, models, health } = setup;
  const counters = new Counters();
  return new ShardKeeper({
    shard: 'shard',
    contract,
    targets: contract.targets,
    depositShare: 0,
    clock,
    random,
    connector: new ModelConnector(models),
    health,
    crashes: new CrashTracker(clock, counters, () => {}),
    counters,
    ...(queueLimit === undefined ? {} : { queueLimit }),
  });
}

/** Assigns each slot to one daemon permanently; a refused request tries two other daemons. */
function createStaticDivision(setup: Setup): AttemptRunner {
  const { contract, random } = setup;
  const slots = contract.targets.flatMap((target) => Array.from({ length: SLOTS }, () => target));
  const keepers = Array.from({ length: DAEMONS }, (_, daemon) => {
    const targets = slots.filter((_slot, index) => index % DAEMONS === daemon);
    return createKeeper(setup, { ...contract, slotsPerTarget: 1, targets });
  });
  const runOnRandomKeeper = async (
    attempt: Attempt,
    keepersTried: number,
  ): Promise<AttemptResult> => {
    const result = await keepers[random.below(DAEMONS)]!.run(attempt);
    const isFinal = result.kind === 'answered' || keepersTried >= MAXIMUM_KEEPERS_TRIED;
    return isFinal ? result : runOnRandomKeeper(attempt, keepersTried + 1);
  };
  return { run: (attempt) => runOnRandomKeeper(attempt, 1) };
}

async function runLoad(
  setup: Setup,
  runner: AttemptRunner,
  loadFactor: number,
): Promise<LoadResult> {
  const { clock, random, models } = setup;
  const capacity = (TARGETS * SLOTS * MILLISECONDS_PER_SECOND) / WORK_MILLISECONDS;
  const meanGapMilliseconds = MILLISECONDS_PER_SECOND / (capacity * loadFactor);
  const timing = new Timing();
  let sent = 0;
  let onTime = 0;
  let late = 0;
  const send = () => {
    const startedAt = clock.now();
    if (startedAt >= RUN_MILLISECONDS) return;
    sent += 1;
    const attempt = modelAttempt(sent, 'zone-a', startedAt + DEADLINE_MILLISECONDS);
    runner.run(attempt).then((result) => {
      if (result.kind !== 'answered') return;
      result.body.resume();
      const elapsed = clock.now() - startedAt;
      timing.record(elapsed);
      if (elapsed <= DEADLINE_MILLISECONDS / 2) onTime += 1;
      else late += 1;
    });
    clock.after(random.exponential(meanGapMilliseconds), send);
  };
  clock.after(0, send);
  await clock.advance(RUN_MILLISECONDS + DEADLINE_MILLISECONDS);
  const served = [...models.values()].reduce((sum, model) => sum + model.requests, 0);
  const requestsOverLimit = [...models.values()].reduce(
    (sum, model) => sum + model.requestsOverLimit,
    0,
  );
  const { p50, p99 } = timing.summary();
  const seconds = RUN_MILLISECONDS / MILLISECONDS_PER_SECOND;
  return {
    sent,
    onTime,
    late,
    p50,
    p99,
    utilisation: served / (capacity * seconds),
    requestsOverLimit,
  };
}

function resultRow(name: string, load: number, result: LoadResult): readonly (string | number)[] {
  return [
    name,
    load,
    result.sent,
    formatFigure((result.onTime / result.sent) * 100),
    formatFigure((result.late / result.sent) * 100),
    formatFigure(result.p50),
    formatFigure(result.p99),
    formatFigure(result.utilisation * 100),
    result.requestsOverLimit,
  ];
}

const HEAD = [
  'way',
  'load / capacity',
  'requests',
  'on time % (within half the deadline)',
  'late %',
  'p50 (ms)',
  'p99 (ms)',
  'slot utilisation %',
  'requests over the slot limit of a target',
];

/** Queue length of an M/M/s/K model whose wait at full load is half the deadline. */
function queueingModelLimit(slots: number, holdMilliseconds: number): number {
  const waitPerPositionMilliseconds = holdMilliseconds / slots;
  return Math.max(1, Math.floor(DEADLINE_MILLISECONDS / 2 / waitPerPositionMilliseconds));
}

async function measureDivisions(seed: number): Promise<Section> {
  const rows: (readonly (string | number)[])[] = [];
  await inSequence([0.5, 0.9, 1.2, 2], async (load) => {
    const keeperSetup = createSetup(seed);
    const keeper = createKeeper(keeperSetup, keeperSetup.contract);
    rows.push(resultRow('one keeper', load, await runLoad(keeperSetup, keeper, load)));
    const divisionSetup = createSetup(seed);
    const division = createStaticDivision(divisionSetup);
    rows.push(resultRow('static division', load, await runLoad(divisionSetup, division, load)));
  });
  return {
    title: `${TARGETS} targets of ${SLOTS} slots behind ${DAEMONS} daemons: one keeper against static division`,
    head: HEAD,
    rows,
    note: 'Simulated clock, work of 50 ms on average, deadline 1 s. Static division assigns each slot to one daemon permanently; a request tries three daemons.',
  };
}

async function measureQueues(seed: number): Promise<Section> {
  const rows: (readonly (string | number)[])[] = [];
  const limits = {
    'fixed, 4 for each slot': (slots: number) => 4 * slots,
    'fixed, 2 for each slot (production)': undefined,
    'fixed, 1 for each slot': (slots: number) => slots,
    'M/M/s/K, from the deadline': queueingModelLimit,
  };
  await inSequence([0.9, 1.2, 2], async (load) => {
    await inSequence(Object.entries(limits), async ([name, limit]) => {
      const setup = createSetup(seed);
      const keeper = createKeeper(setup, setup.contract, limit);
      rows.push(resultRow(name, load, await runLoad(setup, keeper, load)));
    });
  });
  return { title: 'Queue length', head: HEAD, rows };
}

async function measureHedging(seed: number): Promise<Section> {
  const rows: (readonly (string | number)[])[] = [];
  await inSequence([0, 10], async (budget) => {
    const setup = createSetup(seed, budget);
    setup.models.get('target-0')?.setFault({ stallRate: 0.3 });
    const keeper = createKeeper(setup, setup.contract);
    const name = `retry budget ${budget}%`;
    rows.push(resultRow(name, 0.4, await runLoad(setup, keeper, 0.4)));
  });
  return {
    title: `Hedging late lookups: one target of ${TARGETS} stalls 30% of its requests`,
    head: HEAD,
    rows,
  };
}

export default async function measurePolicies(seed: number): Promise<readonly Section[]> {
  return [await measureDivisions(seed), await measureQueues(seed), await measureHedging(seed)];
}
