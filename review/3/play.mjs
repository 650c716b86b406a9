/**
 * A daemon is stopped with SIGTERM while many clients hold kept connections to it. Each client sends
 * its next request some time afterwards. The daemon passes these requests on until it ends itself,
 * and cuts those at which targets are still at work.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import Client from '../lib/Client.mjs';
import { sleep } from '../lib/Platform.mjs';
import runCase from '../lib/runCase.mjs';
import { createCluster, createRule, KREUPEL, LIMITS } from '../lib/sites.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
const CLIENTS = 44;
const WORK_MILLISECONDS = 460;
const DEADLINE_MILLISECONDS = 6_000;
const BODY = Buffer.alloc(4_000, 'x');
/** The clients' requests after the signal, one after another. */
const REQUEST_INTERVAL_SECONDS = 0.13;
/** For how long clients keep an answer of the directory, of which 2 s are its time to live. */
const KEPT_ANSWER_SECONDS = 6;
const GRACE_SECONDS = 6;
/** Requests sent later than this are not excused by work in the last sixth of the grace time. */
const EXCUSED_SECONDS = 3;

const HOSTS = [
  { name: 'edge-wcape-a-1', zone: 'wcape-a', region: 'wcape' },
  { name: 'edge-wcape-a-2', zone: 'wcape-a', region: 'wcape' },
  { name: 'edge-wcape-b-1', zone: 'wcape-b', region: 'wcape' },
  { name: 'edge-wcape-b-2', zone: 'wcape-b', region: 'wcape' },
];

await runCase(FOLDER, KREUPEL, async ({ platform, record, hasTrouble }) => {
  await platform.start(HOSTS);
  const targets = Array.from({ length: 8 }, (_, index) => ({
    id: `i-orders${index}`,
    service: 'orders',
    zone: HOSTS[index % HOSTS.length].zone,
    slots: 6,
  }));
  await Promise.all(targets.map((target) => platform.addTarget(target)));
  platform.configure({
    limits: LIMITS,
    listeners: [
      {
        host: 'lamps.example',
        rules: [
          createRule({
            prefix: '/orders/',
            kind: 'non_idempotent',
            service: 'orders',
            timeout: 6_000,
          }),
        ],
      },
    ],
    clusters: [createCluster('orders')],
  });
  await platform.whenReady();
  const [daemon] = platform.daemons;
  const before = await platform.resolve(daemon);
  if (!before.addresses.includes(daemon.front)) throw new Error('clients are not sent here');
  const clients = await Promise.all(
    Array.from({ length: CLIENTS }, () => new Client(daemon.front, record).open()),
  );
  const first = await Promise.all(clients.map((client) => sendOrder(client)));
  if (first.some(({ status }) => status !== 200)) throw new Error('the first orders failed');
  const directory = await platform.resolve(daemon);
  record.say(`the directory names ${directory.addresses.join(', ')} for ${directory.ttl_s} s`);
  const resolvedAt = record.now();
  if (hasTrouble) platform.signal(daemon, 'SIGTERM');
  const stoppedAt = record.now();
  const results = await Promise.all(
    clients.map(async (client, index) => {
      await sleep(1_000 * (index + 1) * REQUEST_INTERVAL_SECONDS);
      const mayUse = client.isOpen && record.now() - resolvedAt < KEPT_ANSWER_SECONDS;
      return mayUse ? sendOrder(client) : undefined;
    }),
  );
  const runs = platform.targets.flatMap((target) => target.runs);
  return results.flatMap((result) => (result ? findBreach(result, runs, stoppedAt) : []));
});

function sendOrder(client) {
  return client.send({
    method: 'POST',
    host: 'lamps.example',
    path: `/orders/new?work=${WORK_MILLISECONDS}&bytes=400`,
    body: BODY,
    deadline: DEADLINE_MILLISECONDS,
  });
}

/**
 * A request that was passed on to a target must not end without a complete answer. Not counted: the
 * target was at work in the last sixth of the grace time on a request sent no later than 3 s after
 * the signal.
 */
function findBreach({ id, sentAt, endedAt, looksWhole, ending }, runs, stoppedAt) {
  const run = runs.find((one) => one.id === id);
  if (looksWhole || run === undefined) return [];
  const sentAfter = sentAt - stoppedAt;
  const endedAfter = endedAt - stoppedAt;
  if (endedAfter > GRACE_SECONDS + 1) return [];
  const isLate = run.endedAt === undefined || run.endedAt - stoppedAt >= (GRACE_SECONDS * 5) / 6;
  if (isLate && sentAfter <= EXCUSED_SECONDS) return [];
  return [
    `LOST: request ${id}, sent ${sentAfter.toFixed(2)} s after the signal, ran at a target and ` +
      `ended ${endedAfter.toFixed(2)} s after the signal without an answer (${ending})`,
  ];
}
