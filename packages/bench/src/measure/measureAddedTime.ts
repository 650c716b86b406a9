/** Time that the fleet adds to a request, compared with the same request sent directly. */
import { inSequence, systemClock, Timing } from '@cactusrun/core';
import { WORK_HEADER } from '@cactusrun/stand-ins';
import { Agent, request } from 'undici';
import Caller from '../Caller.js';
import type { Deployment } from '../Deployment.js';
import Fleet from '../Fleet.js';
import type { Section } from '../Measurement.js';
import { formatFigure, processorMilliseconds } from '../Measurement.js';
import publishContracts from '../publishContracts.js';
import { runConcurrently } from '../sendMixedLoad.js';

const DAEMONS = 4;
const JOIN_WAIT_MILLISECONDS = 1_500;
const WARM_UP_PAIRS = 200;
const MILLISECONDS_PER_SECOND = 1_000;

async function sendDirectly(agent: Agent, address: string, path: string): Promise<number> {
  const startedAt = systemClock.now();
  const response = await request(`http://${address}${path}`, { dispatcher: agent });
  await response.body.text();
  return systemClock.now() - startedAt - Number(response.headers[WORK_HEADER] ?? 0);
}

function timingRow(name: string, timing: Timing): readonly (string | number)[] {
  const { count, p50, p99, maximum } = timing.summary();
  return [name, count, formatFigure(p50), formatFigure(p99), formatFigure(maximum)];
}

/** Sends pairs, direct and through an entry in the back-end region, then runs a closed loop. */
export default async function measureAddedTime(
  deployment: Deployment,
  pairs: number,
  seed: number,
): Promise<readonly Section[]> {
  const fleet = new Fleet({
    deployment,
    daemons: DAEMONS,
    seed,
    hasLink: false,
    workMilliseconds: 5,
  });
  await fleet.start();
  await systemClock.sleep(JOIN_WAIT_MILLISECONDS);
  await publishContracts(fleet, deployment.name, systemClock);
  const entryHost = fleet.daemons.find(
    ({ host }) => host.region === deployment.backEndRegion,
  )!.host;
  const caller = new Caller([entryHost.callerAddress], entryHost.zone, systemClock);
  const agent = new Agent({ connections: 64 });
  const contract =
    entryHost && fleet.daemons[0]!.store.current.contracts.get(deployment.lookup.service)!;
  const targets = contract.targets.map(({ address }) => address);
  const direct = new Timing();
  const through = new Timing();
  const difference = new Timing();
  const sendThroughFleet = () =>
    caller.send({
      ...deployment.lookup,
      method: 'GET',
      address: entryHost.callerAddress,
    });
  await inSequence(Array.from({ length: WARM_UP_PAIRS + pairs }), async () => {
    const index = direct.summary().count;
    const directMilliseconds = await sendDirectly(
      agent,
      targets[index % targets.length]!,
      deployment.lookup.path,
    );
    const result = await sendThroughFleet();
    const addedMilliseconds = result.milliseconds - result.workMilliseconds;
    direct.record(Math.max(0, directMilliseconds));
    through.record(Math.max(0, addedMilliseconds));
    difference.record(Math.max(0, addedMilliseconds - directMilliseconds));
  });
  const sections = [
    {
      title: `Added time, ${deployment.name}, one request at a time, entry in the back-end region (ms)`,
      head: ['way', 'requests', 'p50', 'p99', 'maximum'],
      rows: [
        timingRow('directly', direct),
        timingRow('through the fleet', through),
        timingRow('difference per pair', difference),
      ],
      note: 'Time minus the work of the target; entry, keeper, targets and caller run in one process.',
    },
    await measureThroughput(sendThroughFleet, deployment, pairs * 4),
  ];
  await agent.destroy();
  await caller.close();
  await fleet.stop();
  return sections;
}

async function measureThroughput(
  sendThroughFleet: () => ReturnType<Caller['send']>,
  deployment: Deployment,
  requests: number,
): Promise<Section> {
  const startedAt = systemClock.now();
  const processorBefore = processorMilliseconds();
  const timing = new Timing();
  const results = await runConcurrently(
    Array.from({ length: requests }, () => sendThroughFleet),
    16,
  );
  const seconds = (systemClock.now() - startedAt) / MILLISECONDS_PER_SECOND;
  const processorTime = processorMilliseconds() - processorBefore;
  const answered = results.filter(({ outcome }) => outcome === 'answered');
  answered.forEach((result) => timing.record(result.milliseconds - result.workMilliseconds));
  const { p50, p99 } = timing.summary();
  return {
    title: `Closed loop of 16, ${deployment.name}`,
    head: [
      'requests',
      'answered',
      'requests/s',
      'processor ms per request',
      'added p50 (ms)',
      'p99 (ms)',
    ],
    rows: [
      [
        results.length,
        answered.length,
        formatFigure(results.length / seconds),
        formatFigure(processorTime / results.length),
        formatFigure(p50),
        formatFigure(p99),
      ],
    ],
    note: 'The processor time is that of caller, entry, keeper and target together: all run in one process.',
  };
}
