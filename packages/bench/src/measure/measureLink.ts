/** The link between the regions: bytes and round trips a request, and lookups beside an upload. */
import { inSequence, systemClock, Timing } from '@cactusrun/core';
import { LinkPipe, StandInLink } from '@cactusrun/stand-ins';
import { Agent, request } from 'undici';
import Caller from '../Caller.js';
import type { Deployment } from '../Deployment.js';
import Fleet from '../Fleet.js';
import type { Section } from '../Measurement.js';
import { digits } from '../Measurement.js';
import publishContracts from '../publishContracts.js';

const DAEMONS = 4;
const JOIN_MILLISECONDS = 1_500;
const LINK_MILLISECONDS = 30;
const LINK_BITS_PER_SECOND = 30_000_000;
const PLAIN_LINK_ADDRESS = '127.0.9.200:9000';
const UPLOAD_BYTES = 12_000_000;

function bytesOf(pipes: Readonly<Record<'forward' | 'backward', LinkPipe>>): number {
  return pipes.forward.bytes + pipes.backward.bytes;
}

async function measurePlain(target: string, path: string, requests: number) {
  const pipes = {
    forward: new LinkPipe(LINK_BITS_PER_SECOND, systemClock),
    backward: new LinkPipe(LINK_BITS_PER_SECOND, systemClock),
  };
  const link = new StandInLink({
    address: PLAIN_LINK_ADDRESS,
    farAddress: target,
    delayMilliseconds: LINK_MILLISECONDS,
    clock: systemClock,
    pipes,
  });
  const stop = await link.start();
  const timing = new Timing();
  await inSequence(Array.from({ length: requests }), async () => {
    const agent = new Agent({ connections: 1 });
    const startedAt = systemClock.now();
    const response = await request(`http://${PLAIN_LINK_ADDRESS}${path}`, { dispatcher: agent });
    await response.body.text();
    timing.record(systemClock.now() - startedAt);
    await agent.destroy();
  });
  await stop();
  return { bytes: bytesOf(pipes) / requests, ...timing.summary() };
}

/** Measures both over the stand-in of the link: 30 Mbit/s and 30 ms one way. */
export default async function measureLink(
  deployment: Deployment,
  requests: number,
  seed: number,
): Promise<readonly Section[]> {
  const fleet = new Fleet({ deployment, daemons: DAEMONS, seed, hasLink: true });
  await fleet.start();
  await systemClock.sleep(JOIN_MILLISECONDS);
  await publishContracts(fleet, deployment.name, systemClock);
  const far = fleet.daemons.find(({ host }) => host.region === deployment.callerRegion)!.host;
  const caller = new Caller([far.callerAddress], far.zone, systemClock);
  const call = () =>
    caller.call({ ...deployment.lookup, method: 'GET', address: far.callerAddress });
  const measure = async (count: number) => {
    const timing = new Timing();
    await inSequence(Array.from({ length: count }), async () => {
      const result = await call();
      timing.record(result.milliseconds);
    });
    return timing.summary();
  };
  await measure(20);
  const before = bytesOf(fleet.pipes);
  const alone = await measure(requests);
  const bytes = (bytesOf(fleet.pipes) - before) / requests;
  const contract = fleet.daemons[0]!.store.current.contracts.get(deployment.lookup.service)!;
  const plain = await measurePlain(contract.targets[0]!.address, deployment.lookup.path, requests);
  const body = Buffer.alloc(UPLOAD_BYTES, 'shade');
  const uploadStartedAt = systemClock.now();
  const upload = caller
    .call({ ...deployment.upload, method: 'POST', body, address: far.callerAddress })
    .then((result) => ({ ...result, seconds: (systemClock.now() - uploadStartedAt) / 1_000 }));
  const beside = await measure(requests);
  const uploaded = await upload;
  await caller.close();
  await fleet.stop();
  return [
    {
      title: `Lookups over the link, ${deployment.name}`,
      head: ['way', 'bytes on the link a request', 'p50 (ms)', 'p99 (ms)'],
      rows: [
        ['through the fleet', digits(bytes), digits(alone.p50), digits(alone.p99)],
        ['a plain connection for each', digits(plain.bytes), digits(plain.p50), digits(plain.p99)],
        ['through the fleet, beside one upload', '', digits(beside.p50), digits(beside.p99)],
      ],
      note: `The upload of ${UPLOAD_BYTES} bytes was ${uploaded.outcome} after ${digits(uploaded.seconds)} s. The work of the target (${deployment.workMilliseconds} ms in the mean) and the round trip of 60 ms are included.`,
    },
  ];
}
