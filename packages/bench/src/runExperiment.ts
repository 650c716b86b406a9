/** `npm run experiment`: policies against faults, side by side, with seeds; tables and a plot. */
import { appendFile, writeFile } from 'node:fs/promises';
import process from 'node:process';
import { inSequence } from '@cactusrun/core';
import { Cli, Command, Option } from 'clipanion';
import type { PolicyName } from './experiment/policies.js';
import { likelihood, POLICIES } from './experiment/policies.js';
import type { Shape, TrialResult } from './experiment/runTrial.js';
import { runTrial } from './experiment/runTrial.js';
import type { ScenarioName } from './experiment/scenarios.js';
import { SCENARIOS } from './experiment/scenarios.js';
import renderMarkdownTable from './renderMarkdownTable.js';
import plotCurve from './plotCurve.js';
import type { CurvePoint } from './plotCurve.js';

const SHAPES: Readonly<Record<'tuul' | 'kreupelhout', Shape>> = {
  tuul: {
    targets: 9,
    slots: 2,
    requestsPerSecond: 72,
    workMilliseconds: 50,
    floorPercent: 65,
    deadlineMilliseconds: 2_000,
  },
  kreupelhout: {
    targets: 10,
    slots: 6,
    requestsPerSecond: 80,
    workMilliseconds: 50,
    floorPercent: 80,
    deadlineMilliseconds: 2_000,
  },
};

/** Thresholds for the curve, from the quickest to the most careful. */
const CURVE_LEVELS = [2, 3, 4.6, 6.9, 9.2, 12];
const EJECT_FACTOR = 1.75;
const PER_TARGET_HOURS = 1_000;
const PERCENT = 100;

interface Trial {
  readonly scenario: ScenarioName;
  readonly seed: number;
  readonly result: TrialResult;
}

const SCENARIO_NAMES = Object.keys(SCENARIOS) as readonly ScenarioName[];

async function runTrials(
  policy: Parameters<typeof runTrial>[0],
  shape: Shape,
  seeds: number,
): Promise<readonly Trial[]> {
  const trials: Trial[] = [];
  const plan = SCENARIO_NAMES.flatMap((scenario) =>
    Array.from({ length: seeds }, (_, index) => ({ scenario, seed: index + 1 })),
  );
  await inSequence(plan, async ({ scenario, seed }) => {
    const result = await runTrial(policy, SCENARIOS[scenario], shape, seed);
    trials.push({ scenario, seed, result });
  });
  return trials;
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}

function sum(trials: readonly Trial[], value: (result: TrialResult) => number): number {
  return trials.reduce((total, { result }) => total + value(result), 0);
}

function formatDetection(trials: readonly Trial[], share: number): string {
  const times = trials.map(
    ({ result }) => result.detectionMilliseconds ?? Number.POSITIVE_INFINITY,
  );
  const value = percentile(times, share);
  return Number.isFinite(value) ? (value / 1_000).toFixed(2) : 'never';
}

function summarizePolicy(name: string, trials: readonly Trial[]): readonly string[] {
  const sick = trials.filter(({ scenario }) => SCENARIOS[scenario].hasSickTarget);
  const hours = sum(trials, (result) => result.targetHours);
  const per = (value: (result: TrialResult) => number) =>
    ((sum(trials, value) / hours) * PER_TARGET_HOURS).toFixed(1);
  const requests = sum(trials, (result) => result.requests);
  const share = (value: (result: TrialResult) => number) =>
    `${((sum(trials, value) / requests) * PERCENT).toFixed(3)}%`;
  const capacity = sum(trials, (result) => result.capacityLost) / trials.length;
  return [
    name,
    formatDetection(sick, 0.5),
    formatDetection(sick, 0.99),
    per((result) => result.falseEjections),
    per((result) => result.falseRemovals),
    share((result) => result.lost),
    share((result) => result.late),
    `${(capacity * PERCENT).toFixed(3)}%`,
    String(sum(trials, (result) => result.floorBroken)),
  ];
}

function summarizeScenarios(
  byPolicy: ReadonlyMap<PolicyName, readonly Trial[]>,
): readonly (readonly string[])[] {
  return SCENARIO_NAMES.map((scenario) => [
    scenario,
    ...[...byPolicy.values()].map((trials) => {
      const own = trials.filter((trial) => trial.scenario === scenario);
      const ejections = sum(own, (result) => result.falseEjections);
      const removals = sum(own, (result) => result.falseRemovals);
      const detection = SCENARIOS[scenario].hasSickTarget
        ? `${formatDetection(own, 0.5)} / ${formatDetection(own, 0.99)}, `
        : '';
      return `${detection}${ejections} (${removals})`;
    }),
  ]);
}

function listWrongDecisions(
  byPolicy: ReadonlyMap<PolicyName, readonly Trial[]>,
): readonly (readonly string[])[] {
  return [...byPolicy]
    .filter(([name]) => name.startsWith('likelihood'))
    .flatMap(([name, trials]) =>
      SCENARIO_NAMES.map((scenario) => {
        const own = trials.filter((trial) => trial.scenario === scenario);
        const wrong = own.filter(({ result }) => result.falseEjections > 0);
        const missed = own.filter(
          ({ result }) =>
            SCENARIOS[scenario].hasSickTarget && result.detectionMilliseconds === undefined,
        );
        const seedsOf = (list: readonly Trial[]) => list.map(({ seed }) => seed).join(' ');
        return [name, scenario, seedsOf(wrong), seedsOf(missed)];
      }),
    )
    .filter(([, , wrong, missed]) => wrong !== '' || missed !== '');
}

class ExperimentCommand extends Command {
  public static override paths = [Command.Default];

  public static override usage = Command.Usage({
    description: 'Tries the policies against the faults and appends the figures to a page.',
  });

  public seeds = Option.String('--seeds', '20', { description: 'Seeds for each trial.' });

  public shape = Option.String('--shape', {
    description: 'One deployment only: tuul or kreupelhout.',
  });

  public page = Option.String('--page', { description: 'Markdown page to append to.' });

  public plot = Option.String('--plot', {
    description: 'Draw the curve into this SVG file in place of the tables.',
  });

  public override async execute(): Promise<number> {
    const seeds = Number(this.seeds);
    const parts: string[] = [];
    const names = (Object.keys(SHAPES) as (keyof typeof SHAPES)[]).filter(
      (name) => this.shape === undefined || this.shape === name,
    );
    await inSequence(this.plot === undefined ? names : [], async (name) => {
      parts.push(await this.tryShape(name, SHAPES[name], seeds));
    });
    if (this.plot !== undefined) {
      await writeFile(this.plot, await this.plotShapes(seeds));
      return 0;
    }
    const text = `\n## Policies against faults, ${seeds} seeds\n\n${parts.join('\n')}`;
    this.context.stdout.write(text);
    if (this.page !== undefined) await appendFile(this.page, text);
    return 0;
  }

  private async tryShape(name: string, shape: Shape, seeds: number): Promise<string> {
    const byPolicy = new Map<PolicyName, readonly Trial[]>();
    await inSequence(Object.keys(POLICIES) as PolicyName[], async (policy) => {
      byPolicy.set(policy, await runTrials(POLICIES[policy], shape, seeds));
      this.context.stderr.write(`${name}: ${policy}\n`);
    });
    const summary = renderMarkdownTable(
      [
        'policy',
        'detection p50 (s)',
        'p99 (s)',
        'false ejections per 1,000 target hours',
        'false removals, steering included',
        'lost',
        'late',
        'healthy capacity lost',
        'floor broken',
      ],
      [...byPolicy].map(([policy, trials]) => summarizePolicy(policy, trials)),
    );
    const scenarios = renderMarkdownTable(
      ['scenario', ...byPolicy.keys()],
      summarizeScenarios(byPolicy),
    );
    const wrong = renderMarkdownTable(
      ['policy', 'scenario', 'seeds with a false ejection', 'seeds never detected'],
      listWrongDecisions(byPolicy),
    );
    const shapeText = JSON.stringify(shape);
    return [
      `### ${name}: ${shapeText}\n`,
      summary,
      'By scenario: detection p50 / p99 in seconds, false ejections (false removals):\n',
      scenarios,
      'Wrong decisions that the runs still show:\n',
      wrong,
    ].join('\n');
  }

  private async plotShapes(seeds: number): Promise<string> {
    const points: CurvePoint[] = [];
    const shapes = Object.entries(SHAPES);
    const plan = shapes.flatMap(([name, shape]) =>
      CURVE_LEVELS.map((steerScore) => ({ name, shape, steerScore })),
    );
    await inSequence(plan, async ({ name, shape, steerScore }) => {
      const level = { steerScore, ejectScore: steerScore * EJECT_FACTOR };
      const trials = await runTrials(likelihood('balanced', level), shape, Math.ceil(seeds / 4));
      const sick = trials.filter(({ scenario }) => SCENARIOS[scenario].hasSickTarget);
      const hours = sum(trials, (result) => result.targetHours);
      const times = sick.map(({ result }) => result.detectionMilliseconds ?? 30_000);
      points.push({
        deployment: name,
        steerScore,
        detectionSeconds: percentile(times, 0.5) / 1_000,
        falseRemovals: (sum(trials, (result) => result.falseRemovals) / hours) * PER_TARGET_HOURS,
      });
      this.context.stderr.write(`${name}: steering at ${steerScore}\n`);
    });
    return plotCurve(points);
  }
}

const cli = new Cli({
  enableColors: process.stdout.isTTY === true,
  binaryName: 'npm run experiment --',
  binaryVersion: '0.1.0',
});
cli.register(ExperimentCommand);
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
