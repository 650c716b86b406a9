import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { systemClock } from '@cactusrun/core';
import Caller from '../../Caller.js';
import { DEPLOYMENTS } from '../../Deployment.js';
import { runConcurrently } from '../../sendMixedLoad.js';
import ProcessFleet from './ProcessFleet.js';

const DAEMONS = 4;
const UPLOAD_BYTES = 20_000_000;

describe('graceful shutdown, with real processes', () => {
  const deployment = DEPLOYMENTS.kreupelhout;
  const fleet = new ProcessFleet(deployment, DAEMONS, 5, 20);

  beforeAll(() => fleet.start());

  afterAll(() => fleet.stop());

  it('completes requests in flight, and uploads arrive whole', async () => {
    const address = fleet.daemons[2]!.callers;
    const caller = new Caller([address], 'east-a', systemClock);
    const body = Buffer.alloc(UPLOAD_BYTES, 'sketch');
    const uploads = [0, 1, 2].map(() =>
      caller.send({ ...deployment.upload, method: 'POST', body, address }),
    );
    const lookups = runConcurrently(
      Array.from(
        { length: 400 },
        () => () => caller.send({ ...deployment.lookup, method: 'GET', address }),
      ),
      4,
    );
    await systemClock.sleep(30);
    fleet.signal(2, 'SIGTERM');
    const results = [...(await Promise.all(uploads)), ...(await lookups)];
    expect(results.map(({ outcome }) => outcome)).toEqual(Array(results.length).fill('answered'));
    expect(results.filter(({ isWrong }) => isWrong)).toEqual([]);
    expect(await fleet.waitForExit(2)).toBe(0);
    await caller.close();
  });

  it('loses no request while a keeper drains and stops', async () => {
    const caller = new Caller(
      fleet.daemons.filter(({ index }) => index !== 2).map(({ callers }) => callers),
      'east-b',
      systemClock,
    );
    const sends = Array.from(
      { length: 1_500 },
      () => () => caller.send({ ...deployment.lookup, method: 'GET' }),
    );
    const running = runConcurrently(sends, 8);
    await systemClock.sleep(300);
    fleet.signal(0, 'SIGTERM');
    const results = await running;
    const lost = results.filter(({ outcome }) => outcome !== 'answered');
    expect(lost).toEqual([]);
    expect(await fleet.waitForExit(0)).toBe(0);
    await caller.close();
  });
});
