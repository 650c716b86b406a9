/** `npm run experiment`: compares the health policies in each fault scenario; tables or a plot. */
import { appendFile, writeFile } from 'node:fs/promises';
import process from 'node:process';
import { inSequence } from '@cactusrun/core';
import { Cli, Command, Option } from 'clipanion';
import type { PolicyName } from './experiment/policies.js';
import { likelihoodPolicy, POLICIES } from './experiment/policies.js';
import type { TrialResult, TrialShape } from './experiment/runTrial.js';
import { runTrial } from './experiment/runTrial.js';
import type { ScenarioName } from './experiment/scenarios.js';
import { SCENARIOS } from './experiment/scenarios.js';
import type { CurvePoint } from './plotCurve.js';
import plotCurve from './plotCurve.js';
import renderMarkdownTable from './renderMarkdownTable.js';

const SHAPES: Readonly<Record<'tuul' | 'kreupelhout', TrialShape>> = {
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

/** Steer score thresholds of the curve, from the swiftest to the most careful. */
const CURVE_STEER_SCORES = [2, 3, 4.6, 6.9, 9.2, 12];
const EJECT_TO_STEER_RATIO = 1.75;
const RATE_PERIOD_TARGET_HOURS = 1_000;
const PERCENT = 100;

interface Trial {
  readonly scenario: ScenarioName;
  readonly seed: number;
  readonly result: TrialResult;
}

const SCENARIO_NAMES = Object.keys(SCENARIOS) as readonly ScenarioName[];

async function runTrials(
  policy: Parameters<typeof runTrial>[0],
  shape: TrialShape,
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

function quantileOf(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0;
}

function sum(trials: readonly Trial[], value: (result: TrialResult) => number): number {
  return trials.reduce((total, { result }) => total + value(result), 0);
}

function formatDetection(trials: readonly Trial[], quantile: number): string {
  const detectionTimes = trials.map(
    ({ result }) => result.detectionMilliseconds ?? Number.POSITIVE_INFINITY,
  );
  const value = quantileOf(detectionTimes, quantile);
  return Number.isFinite(value) ? (value / 1_000).toFixed(2) : 'never';
}

function summarizePolicy(name: string, trials: readonly Trial[]): readonly string[] {
  const unhealthyTrials = trials.filter(({ scenario }) => SCENARIOS[scenario].hasUnhealthyTarget);
  const targetHours = sum(trials, (result) => result.targetHours);
  const formatRate = (value: (result: TrialResult) => number) =>
    ((sum(trials, value) / targetHours) * RATE_PERIOD_TARGET_HOURS).toFixed(1);
  const requests = sum(trials, (result) => result.requests);
  const formatPercent = (value: (result: TrialResult) => number) =>
    `${((sum(trials, value) / requests) * PERCENT).toFixed(3)}%`;
  const capacity = sum(trials, (result) => result.capacityLost) / trials.length;
  return [
    name,
    formatDetection(unhealthyTrials, 0.5),
    formatDetection(unhealthyTrials, 0.99),
    formatRate((result) => result.falseEjections),
    formatRate((result) => result.falseRemovals),
    formatPercent((result) => result.lost),
    formatPercent((result) => result.late),
    `${(capacity * PERCENT).toFixed(3)}%`,
    String(sum(trials, (result) => result.floorViolations)),
  ];
}

function summarizeScenarios(
  byPolicy: ReadonlyMap<PolicyName, readonly Trial[]>,
): readonly (readonly string[])[] {
  return SCENARIO_NAMES.map((scenario) => [
    scenario,
    ...[...byPolicy.values()].map((trials) => {
      const scenarioTrials = trials.filter((trial) => trial.scenario === scenario);
      const ejections = sum(scenarioTrials, (result) => result.falseEjections);
      const removals = sum(scenarioTrials, (result) => result.falseRemovals);
      const detection = SCENARIOS[scenario].hasUnhealthyTarget
        ? `${formatDetection(scenarioTrials, 0.5)} / ${formatDetection(scenarioTrials, 0.99)}, `
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
        const scenarioTrials = trials.filter((trial) => trial.scenario === scenario);
        const falselyEjected = scenarioTrials.filter(({ result }) => result.falseEjections > 0);
        const undetected = scenarioTrials.filter(
          ({ result }) =>
            SCENARIOS[scenario].hasUnhealthyTarget && result.detectionMilliseconds === undefined,
        );
        const seedsOf = (list: readonly Trial[]) => list.map(({ seed }) => seed).join(' ');
        return [name, scenario, seedsOf(falselyEjected), seedsOf(undetected)];
      }),
    )
    .filter(([, , wrong, missed]) => wrong !== '' || missed !== '');
}

class ExperimentCommand extends Command {
  public static override paths = [Command.Default];

  public static override usage = Command.Usage({
    description: 'Runs the health policies against the fault scenarios and prints the figures.',
  });

  public seeds = Option.String('--seeds', '20', {
    description: 'Number of seeds for each policy and scenario.',
  });

  public shape = Option.String('--shape', {
    description: 'One deployment only: tuul or kreupelhout.',
  });

  public page = Option.String('--page', { description: 'Markdown page to append to.' });

  public plot = Option.String('--plot', {
    description: 'Write the detection curve to this SVG file instead of printing tables.',
  });

  public override async execute(): Promise<number> {
    const seeds = Number(this.seeds);
    const parts: string[] = [];
    const names = (Object.keys(SHAPES) as (keyof typeof SHAPES)[]).filter(
      (name) => this.shape === undefined || this.shape === name,
    );
    await inSequence(this.plot === undefined ? names : [], async (name) => {
      parts.push(await this.runShape(name, SHAPES[name], seeds));
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

  private async runShape(name: string, shape: TrialShape, seeds: number): Promise<string> {
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
        'floor violations',
      ],
      [...byPolicy].map(([policy, trials]) => summarizePolicy(policy, trials)),
    );
    const scenarios = renderMarkdownTable(
      ['scenario', ...byPolicy.keys()],
      summarizeScenarios(byPolicy),
    );
    const wrong = renderMarkdownTable(
      ['policy', 'scenario', 'seeds with a false ejection', 'seeds with an undetected fault'],
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
      CURVE_STEER_SCORES.map((steerScore) => ({ name, shape, steerScore })),
    );
    await inSequence(plan, async ({ name, shape, steerScore }) => {
      const level = { steerScore, ejectScore: steerScore * EJECT_TO_STEER_RATIO };
      const trials = await runTrials(
        likelihoodPolicy('balanced', level),
        shape,
        Math.ceil(seeds / 4),
      );
      const unhealthyTrials = trials.filter(
        ({ scenario }) => SCENARIOS[scenario].hasUnhealthyTarget,
      );
      const targetHours = sum(trials, (result) => result.targetHours);
      const detectionTimes = unhealthyTrials.map(
        ({ result }) => result.detectionMilliseconds ?? 30_000,
      );
      points.push({
        deployment: name,
        steerScore,
        detectionSeconds: quantileOf(detectionTimes, 0.5) / 1_000,
        falseRemovals:
          (sum(trials, (result) => result.falseRemovals) / targetHours) * RATE_PERIOD_TARGET_HOURS,
      });
      this.context.stderr.write(`${name}: steer score ${steerScore}\n`);
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
