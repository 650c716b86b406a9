import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { Counters, createRandom, ManualClock } from '@cactusrun/core';
import TargetProber from '../../TargetProber.js';

const ADDRESSES = ['127.0.77.4:18082', '127.0.77.4:18083', '127.0.77.4:18084'];
const REPORTS = ['{"load":0.5,"isDraining":false}', '{"load":0,"isDraining":true}', 'no report'];

/** Waits for real input and output until the condition holds. */
async function until(condition: () => boolean): Promise<void> {
  if (condition()) return;
  await new Promise((resolve) => {
    setTimeout(resolve, 5);
  });
  await until(condition);
}

describe('TargetProber', () => {
  let servers: readonly Server[] = [];
  const probes = ADDRESSES.map(() => 0);

  beforeAll(async () => {
    servers = await Promise.all(
      ADDRESSES.map(async (address, index) => {
        const server = createServer((_, response) => {
          probes[index] = (probes[index] ?? 0) + 1;
          response.end(REPORTS[index]);
        });
        const [host, port] = address.split(':');
        await new Promise<void>((resolve) => {
          server.listen(Number(port), host, resolve);
        });
        return server;
      }),
    );
  });

  afterAll(() => servers.forEach((server) => server.close()));

  it('reads drain and load, and does not probe targets that answer requests', async () => {
    const clock = new ManualClock();
    const counters = new Counters();
    const busy = new Set<string>();
    const prober = new TargetProber({
      targets: () => ADDRESSES.map((address) => ({ name: address, address, zone: 'west-a' })),
      clock,
      random: createRandom(1),
      counters,
      lastAnswerAt: (address) => (busy.has(address) ? clock.now() : Number.NEGATIVE_INFINITY),
    });
    const stop = prober.start();
    const done = () => counters.valueOf('probes', 'read') + counters.valueOf('probes', 'failed');
    await until(() => done() === 3);
    expect(prober.statusOf(ADDRESSES[0]!)).toEqual({ load: 0.5, isDraining: false });
    expect(prober.statusOf(ADDRESSES[1]!)?.isDraining).toBe(true);
    expect(prober.statusOf(ADDRESSES[2]!)).toBeUndefined();
    ADDRESSES.forEach((address) => busy.add(address));
    await clock.advance(3_000);
    await until(() => done() === 4);
    expect(probes).toEqual([1, 2, 1]);
    expect(counters.valueOf('probes', 'spared')).toBe(2);
    const stopping = stop();
    await clock.advance(3_000);
    await stopping;
  });
});
