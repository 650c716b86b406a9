/** Demands, faults and runs of a fleet with quotas, for property tests. */
import type { Random } from '@cactusrun/core';
import { createRandom } from '@cactusrun/core';
import fc from 'fast-check';
import { DEFAULT_QUOTA_BOUNDS, toleratedExcess } from '../../limits/QuotaBounds.js';
import type { RequestQuota } from '../../workspaces/Workspace.js';
import QuotaFleet, { ENTRIES_PER_ZONE, NO_FAULTS, STEP_MILLISECONDS, ZONES } from './QuotaFleet.js';

export const SEED = 20_261_204;
const WINDOW_SECONDS = DEFAULT_QUOTA_BOUNDS.windowMilliseconds / 1_000;
export const RUNS = 25;
/** Length of a run of a demand within the quota. */
const CALM_MILLISECONDS = 10_000;
/** Parts of the rate and of the burst that a demand uses. */
export interface UsedParts {
  readonly rate: number;
  readonly burst: number;
}

export const PROPERTY_TIMEOUT_MILLISECONDS = 120_000;

export function allowedInWindow(quota: RequestQuota): number {
  const { requestsPerSecond, burst } = quota;
  const excess = toleratedExcess(DEFAULT_QUOTA_BOUNDS, quota);
  return requestsPerSecond * WINDOW_SECONDS + burst + excess;
}

const quotas = fc
  .record({
    rate: fc.constantFrom(1, 2, 5, 20, 60, 100),
    burstSeconds: fc.double({ min: 0, max: 1, noNaN: true }),
  })
  .map(({ rate, burstSeconds }) => ({
    requestsPerSecond: rate,
    burst: Math.round(rate * burstSeconds),
  }));
const weights = fc
  .array(fc.constantFrom(0, 0, 1, 1, 3), {
    minLength: ZONES.length * ENTRIES_PER_ZONE,
    maxLength: ZONES.length * ENTRIES_PER_ZONE,
  })
  .filter((list) => list.some((weight) => weight > 0));

/** Runs the fleet under a demand, in requests a second, that is spread over daemons by weight. */
function run(
  fleet: QuotaFleet,
  random: Random,
  demand: number,
  spread: readonly number[],
  milliseconds: number,
): void {
  const total = spread.reduce((sum, weight) => sum + weight, 0);
  Array.from({ length: milliseconds / STEP_MILLISECONDS }).forEach(() => {
    fleet.daemons.forEach((daemon, index) => {
      const expected = (demand * STEP_MILLISECONDS * spread[index]!) / total / 1_000;
      const whole = Math.floor(expected + random.unit());
      Array.from({ length: whole }).forEach(() => fleet.request(daemon));
    });
    fleet.step();
  });
}

/**
 * Runs the fleet under a demand of parts of the quota: requests come at random, and those that a token bucket of
 * the whole fleet, with these parts, would not let pass are not made.
 */
function runWithin(
  fleet: QuotaFleet,
  random: Random,
  spread: readonly number[],
  used: UsedParts,
): void {
  const { requestsPerSecond, burst } = fleet.quota;
  const gain = (used.rate * requestsPerSecond * STEP_MILLISECONDS) / 1_000;
  const senders = fleet.daemons.flatMap((daemon, index) =>
    Array.from({ length: spread[index]! }, () => daemon),
  );
  let tokens = 0;
  Array.from({ length: CALM_MILLISECONDS / STEP_MILLISECONDS }).forEach(() => {
    tokens = Math.min(Math.max(1, burst * used.burst), tokens + gain);
    const requests = random.unit() < 0.5 ? Math.floor(tokens) : 0;
    tokens -= requests;
    Array.from({ length: requests }).forEach(() =>
      fleet.request(senders[Math.floor(random.unit() * senders.length)]!),
    );
    fleet.step();
  });
}

export const scenarios = fc.record({
  seed: fc.nat(),
  quota: quotas,
  before: weights,
  after: weights,
  demandFactor: fc.constantFrom(0.5, 1, 2, 6),
  laterFactor: fc.constantFrom(1, 2, 6),
  faults: fc.constantFrom(
    NO_FAULTS,
    { loss: 0.1, repeated: 0.1, lateMilliseconds: 40 },
    { loss: 0.3, repeated: 0.3, lateMilliseconds: 200 },
  ),
});

export type Scenario = typeof scenarios extends fc.Arbitrary<infer Value> ? Value : never;

/**
 * Runs a scenario: a change between two times of the fleet, which is then undone if it is a cut.
 *
 * @param largestLeapAtCut - largest factor by which the demand exceeds the quota from a cut on
 */
export function play(
  given: Scenario,
  change: (fleet: QuotaFleet) => void,
  largestLeapAtCut: number,
): QuotaFleet {
  const random = createRandom(given.seed);
  const fleet = new QuotaFleet(random, given.quota);
  const rate = given.quota.requestsPerSecond;
  fleet.faults = given.faults;
  run(fleet, random, rate * given.demandFactor, given.before, 6_000);
  change(fleet);
  const isCut = !fleet.isConnected(fleet.daemons[0]!, fleet.daemons[4]!);
  const laterFactor = isCut ? Math.min(largestLeapAtCut, given.laterFactor) : given.laterFactor;
  run(fleet, random, rate * laterFactor, given.after, 8_000);
  fleet.connect(() => true);
  run(fleet, random, rate * given.laterFactor, given.before, 6_000);
  return fleet;
}

/** The property that nothing is refused, while no message is lost, of a demand of parts of the quota. */
export function nothingRefused(used: UsedParts): fc.IProperty<unknown[]> {
  const calm = fc.record({ seed: fc.nat(), quota: quotas, before: weights, after: weights });
  return fc.property(calm, ({ seed, quota, before, after }) => {
    const random = createRandom(seed);
    const fleet = new QuotaFleet(random, quota);
    runWithin(fleet, random, before, used);
    runWithin(fleet, random, after, used);
    return fleet.refused === 0;
  }) as fc.IProperty<unknown[]>;
}
