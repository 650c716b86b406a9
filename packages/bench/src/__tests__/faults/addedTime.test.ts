import process from 'node:process';
import { Agent, request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { inSequence, systemClock, Timing } from '@cactusrun/core';
import { WORK_HEADER } from '@cactusrun/stand-ins';
import Caller from '../../Caller.js';
import { DEPLOYMENTS, parseTargets, readContracts } from '../../Deployment.js';
import ProcessFleet from './ProcessFleet.js';

const DAEMONS = 4;
const WARM_UP_PAIRS = 500;
const PAIRS = 3_000;
/** Required bound on the added time at p99. */
const MAXIMUM_ADDED_MILLISECONDS = 6.1;

describe.each(['kreupelhout', 'tuul'] as const)('added time with real processes, %s', (name) => {
  const deployment = DEPLOYMENTS[name];
  const fleet = new ProcessFleet(deployment, DAEMONS, 9, 5, true);

  beforeAll(() => fleet.start());

  afterAll(() => fleet.stop());

  it(`is at most ${MAXIMUM_ADDED_MILLISECONDS} ms at p99 against the same request sent directly`, async () => {
    const { callers } = fleet.daemons[0]!;
    const caller = new Caller([callers], deployment.zones[0]!, systemClock);
    const agent = new Agent({ connections: 16 });
    const targets = parseTargets(await readContracts(name)).filter(
      ({ address, name: target }) => address !== '' && target.startsWith(deployment.lookup.service),
    );
    const direct = new Timing();
    const through = new Timing();
    const difference = new Timing();
    await inSequence(
      Array.from({ length: WARM_UP_PAIRS + PAIRS }, (_, index) => index),
      async (index) => {
        const { address } = targets[index % targets.length]!;
        const startedAt = systemClock.now();
        const response = await request(`http://${address}${deployment.lookup.path}`, {
          dispatcher: agent,
        });
        await response.body.text();
        const directMilliseconds =
          systemClock.now() - startedAt - Number(response.headers[WORK_HEADER] ?? 0);
        const result = await caller.send({
          ...deployment.lookup,
          method: 'GET',
          address: callers,
        });
        expect(result.outcome).toBe('answered');
        if (index < WARM_UP_PAIRS) return;
        const addedMilliseconds = result.milliseconds - result.workMilliseconds;
        direct.record(Math.max(0, directMilliseconds));
        through.record(Math.max(0, addedMilliseconds));
        difference.record(Math.max(0, addedMilliseconds - directMilliseconds));
      },
    );
    const figures = {
      deployment: name,
      direct: direct.summary(),
      through: through.summary(),
      difference: difference.summary(),
    };
    process.stdout.write(`${JSON.stringify(figures)}\n`);
    await agent.destroy();
    await caller.close();
    expect(difference.summary().p99).toBeLessThanOrEqual(MAXIMUM_ADDED_MILLISECONDS);
  });
});
