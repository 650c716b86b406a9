/** Control-plane cost of a daemon and propagation time of a change, by fleet size. */
import { randomUUID } from 'node:crypto';
import process from 'node:process';
import { OperatorClient } from '@cactusrun/command-line';
import { inSequence, systemClock, Timing } from '@cactusrun/core';
import type { Deployment } from '../Deployment.js';
import Fleet, { operatorAddress } from '../Fleet.js';
import type { Section } from '../Measurement.js';
import { fitLine, formatFigure, processorMilliseconds } from '../Measurement.js';
import publishContracts from '../publishContracts.js';

const IDLE_MILLISECONDS = 10_000;
const CHANGES = 8;
const TIMEOUT_MILLISECONDS = 15_000;
const POLL_MILLISECONDS = 2;
const BYTES_PER_MEGABYTE = 1_048_576;

export interface ControlCost {
  readonly daemons: number;
  readonly bytesPerSecond: number;
  readonly processorPercent: number;
  readonly residentMegabytes: number;
  readonly propagation: { readonly p50: number; readonly p99: number };
}

function heartbeatBytes(fleet: Fleet): number {
  return fleet.daemons.reduce(
    (sum, { counters }) =>
      sum +
      counters.valueOf('heartbeat_bytes', 'sent') +
      counters.valueOf('heartbeat_bytes', 'received'),
    0,
  );
}

async function measurePropagation(fleet: Fleet, service: string): Promise<Timing> {
  const timing = new Timing();
  const client = new OperatorClient(operatorAddress(0));
  await inSequence(Array.from({ length: CHANGES }), async () => {
    const percent = 10 + (timing.summary().count % 50);
    const startedAt = systemClock.now();
    const reply = await client.change({
      identity: randomUUID(),
      author: 'bench',
      script: `CHANGE CONTRACT ${service} { FLOOR ${percent}%; }`,
      isDryRun: false,
    });
    const isBehind = () =>
      fleet.daemons.some(({ store }) => store.current.revision < (reply.revision ?? Infinity));
    while (isBehind() && systemClock.now() - startedAt < TIMEOUT_MILLISECONDS) {
      // eslint-disable-next-line no-await-in-loop
      await systemClock.sleep(POLL_MILLISECONDS);
    }
    timing.record(systemClock.now() - startedAt);
  });
  return timing;
}

/** Measures the cost of an idle fleet of this size, then the propagation of changes. */
export async function measureFleet(
  deployment: Deployment,
  daemons: number,
  seed: number,
): Promise<ControlCost> {
  const fleet = new Fleet({ deployment, daemons, seed, hasLink: false });
  await fleet.start();
  await systemClock.sleep(5_000);
  await publishContracts(fleet, deployment.name, systemClock);
  await systemClock.sleep(3_000);
  const bytesBefore = heartbeatBytes(fleet);
  const processorBefore = processorMilliseconds();
  const startedAt = systemClock.now();
  await systemClock.sleep(IDLE_MILLISECONDS);
  const elapsed = systemClock.now() - startedAt;
  const bytes = heartbeatBytes(fleet) - bytesBefore;
  const processorTime = processorMilliseconds() - processorBefore;
  const propagation = (await measurePropagation(fleet, deployment.lookup.service)).summary();
  const residentMegabytes = process.memoryUsage().rss / BYTES_PER_MEGABYTE;
  await fleet.stop();
  return {
    daemons,
    bytesPerSecond: (bytes / daemons / elapsed) * 1_000,
    processorPercent: (processorTime / daemons / elapsed) * 100,
    residentMegabytes,
    propagation,
  };
}

export default async function measureControl(
  deployment: Deployment,
  sizes: readonly number[],
  seed: number,
): Promise<readonly Section[]> {
  const costs: ControlCost[] = [];
  await inSequence(sizes, async (size) => {
    costs.push(await measureFleet(deployment, size, seed));
  });
  const fit = fitLine(
    costs.map(({ daemons, propagation }) => [Math.log2(daemons), propagation.p99]),
  );
  return [
    {
      title: 'Control-plane cost by fleet size: heartbeats and a configuration change',
      head: [
        'daemons',
        'heartbeat bytes/s per daemon, sent and received',
        'processor % of a core per daemon',
        'resident MB of the process',
        'in force everywhere p50 (ms)',
        'p99 (ms)',
      ],
      rows: costs.map((cost) => [
        cost.daemons,
        formatFigure(cost.bytesPerSecond),
        formatFigure(cost.processorPercent),
        formatFigure(cost.residentMegabytes),
        formatFigure(cost.propagation.p50),
        formatFigure(cost.propagation.p99),
      ]),
      note: `All daemons and stand-ins in one process; its processor time, probes of the targets included, is divided by the number of daemons. In force everywhere: from the operator's request to the last daemon, ${CHANGES} changes; p99 grows by ${formatFigure(fit.slope)} ms for each doubling (error ${formatFigure(fit.error * 100)}%).`,
    },
  ];
}
