/** The link between the regions: bytes and time for each lookup, alone and during an upload. */
import { inSequence, systemClock, Timing } from '@cactusrun/core';
import { LinkPipe, StandInLink } from '@cactusrun/stand-ins';
import { Agent, request } from 'undici';
import Caller from '../Caller.js';
import type { Deployment } from '../Deployment.js';
import Fleet from '../Fleet.js';
import type { Section } from '../Measurement.js';
import { formatFigure } from '../Measurement.js';
import publishContracts from '../publishContracts.js';

const DAEMONS = 4;
const JOIN_WAIT_MILLISECONDS = 1_500;
const LINK_DELAY_MILLISECONDS = 30;
const LINK_BITS_PER_SECOND = 30_000_000;
const DIRECT_LINK_ADDRESS = '127.0.9.200:9000';
const UPLOAD_BYTES = 12_000_000;

function bytesOf(pipes: Readonly<Record<'forward' | 'backward', LinkPipe>>): number {
  return pipes.forward.bytes + pipes.backward.bytes;
}

async function measureDirectConnections(target: string, path: string, requests: number) {
  const pipes = {
    forward: new LinkPipe(LINK_BITS_PER_SECOND, systemClock),
    backward: new LinkPipe(LINK_BITS_PER_SECOND, systemClock),
  };
  const link = new StandInLink({
    address: DIRECT_LINK_ADDRESS,
    farAddress: target,
    delayMilliseconds: LINK_DELAY_MILLISECONDS,
    clock: systemClock,
    pipes,
  });
  const stop = await link.start();
  const timing = new Timing();
  await inSequence(Array.from({ length: requests }), async () => {
    const agent = new Agent({ connections: 1 });
    const startedAt = systemClock.now();
    const response = await request(`http://${DIRECT_LINK_ADDRESS}${path}`, { dispatcher: agent });
    await response.body.text();
    timing.record(systemClock.now() - startedAt);
    await agent.destroy();
  });
  await stop();
  return { bytes: bytesOf(pipes) / requests, ...timing.summary() };
}

/** Measures over the link stand-in: 30 Mbit/s, 30 ms one-way delay. */
export default async function measureLink(
  deployment: Deployment,
  requests: number,
  seed: number,
): Promise<readonly Section[]> {
  const fleet = new Fleet({ deployment, daemons: DAEMONS, seed, hasLink: true });
  await fleet.start();
  await systemClock.sleep(JOIN_WAIT_MILLISECONDS);
  await publishContracts(fleet, deployment.name, systemClock);
  const entryHost = fleet.daemons.find(({ host }) => host.region === deployment.callerRegion)!.host;
  const caller = new Caller([entryHost.callerAddress], entryHost.zone, systemClock);
  const sendLookup = () =>
    caller.send({
      ...deployment.lookup,
      method: 'GET',
      address: entryHost.callerAddress,
    });
  const measureLookups = async (count: number) => {
    const timing = new Timing();
    await inSequence(Array.from({ length: count }), async () => {
      const result = await sendLookup();
      timing.record(result.milliseconds);
    });
    return timing.summary();
  };
  await measureLookups(20);
  const bytesBefore = bytesOf(fleet.pipes);
  const alone = await measureLookups(requests);
  const bytes = (bytesOf(fleet.pipes) - bytesBefore) / requests;
  const contract = fleet.daemons[0]!.store.current.contracts.get(deployment.lookup.service)!;
  const direct = await measureDirectConnections(
    contract.targets[0]!.address,
    deployment.lookup.path,
    requests,
  );
  const body = Buffer.alloc(UPLOAD_BYTES, 'shade');
  const uploadStartedAt = systemClock.now();
  const upload = caller
    .send({
      ...deployment.upload,
      method: 'POST',
      body,
      address: entryHost.callerAddress,
    })
    .then((result) => ({ ...result, seconds: (systemClock.now() - uploadStartedAt) / 1_000 }));
  const duringUpload = await measureLookups(requests);
  const uploaded = await upload;
  await caller.close();
  await fleet.stop();
  return [
    {
      title: `Lookups over the link, ${deployment.name}`,
      head: ['way', 'bytes on the link per request', 'p50 (ms)', 'p99 (ms)'],
      rows: [
        [
          'through the fleet',
          formatFigure(bytes),
          formatFigure(alone.p50),
          formatFigure(alone.p99),
        ],
        [
          'directly, a new connection per request',
          formatFigure(direct.bytes),
          formatFigure(direct.p50),
          formatFigure(direct.p99),
        ],
        [
          'through the fleet, during one upload',
          '',
          formatFigure(duringUpload.p50),
          formatFigure(duringUpload.p99),
        ],
      ],
      note: `The upload of ${UPLOAD_BYTES} bytes was ${uploaded.outcome} after ${formatFigure(uploaded.seconds)} s. The work of the target (${deployment.workMilliseconds} ms on average) and the round trip of 60 ms are included.`,
    },
  ];
}
