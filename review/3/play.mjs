/**
 * A daemon is stopped as planned. One of its clients holds an idle connection and an answer of the
 * directory that names the daemon; it sends a request more than three seconds after the signal. The
 * daemon passes it on to a target, and ends the connection while the target works on it.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import Client from '../lib/Client.mjs';
import { sleep } from '../lib/Platform.mjs';
import runCase from '../lib/runCase.mjs';
import { createCluster, createRule, KREUPEL, LIMITS } from '../lib/sites.mjs';

const HOST = 'orders.example';
const HOSTS = [
  { name: 'edge-wcape-a-1', zone: 'wcape-a', region: 'wcape' },
  { name: 'edge-wcape-a-2', zone: 'wcape-a', region: 'wcape' },
];
const TARGETS = 3;
const DEADLINE_MILLISECONDS = 6_000;
const GRACE_MILLISECONDS = KREUPEL['bounds.grace_s'] * 1_000;
/** Some clients keep an answer of the directory three times as long as it says. */
const ANSWER_AGES = 3;
/** The two requests, by their time after the signal and their work; the sheet's longest is 2,800 ms. */
const EARLY = { after: 2_100, work: 2_000 };
const LATE = { after: 3_500, work: 2_300 };
/** Requests that are sent no later than this after the signal have an excuse of their own. */
const EXCUSED_MILLISECONDS = 3_000;

async function play({ platform, record, hasTrouble }) {
  await startSystem(platform);
  const [daemon] = platform.daemons;
  const kept = await new Client(daemon.front, record).open();
  await order(kept, 460);
  await sleep(2_000);

  const answer = await platform.resolve(daemon);
  if (!answer?.addresses.includes(daemon.front)) throw new Error('the directory lacks the daemon');
  const answeredAt = performance.now();
  const since = () => performance.now() - answeredAt;
  if (hasTrouble) platform.signal(daemon, 'SIGTERM');

  // A client that has the same answer of the directory opens a connection, as the page allows it.
  await sleep(EARLY.after - since());
  const fresh = await new Client(daemon.front, record).open();
  const early = order(fresh, EARLY.work);

  await sleep(LATE.after - since());
  if (since() > ANSWER_AGES * answer.ttl_s * 1_000) throw new Error('the answer is too old');
  record.say(
    `${(since() / 1_000).toFixed(2)} s after the signal, a client uses its kept connection`,
  );
  if (!kept.isOpen) {
    record.say('the daemon had closed it');
    return [];
  }
  const late = await order(kept, LATE.work);
  await early;
  if (hasTrouble) await sleep(GRACE_MILLISECONDS - since());
  return findBreach(platform, late);
}

async function startSystem(platform) {
  await platform.start(HOSTS);
  for (let number = 1; number <= TARGETS; number += 1) {
    const id = `i-orders${number}`;
    await platform.addTarget({ id, service: 'orders', zone: 'wcape-a', slots: 6 });
  }
  const rule = createRule({
    prefix: '/orders/',
    kind: 'non_idempotent',
    service: 'orders',
    timeout: DEADLINE_MILLISECONDS,
  });
  platform.configure({
    limits: LIMITS,
    listeners: [{ host: HOST, rules: [rule] }],
    clusters: [createCluster('orders')],
  });
  await platform.whenReady();
  await sleep(2_000);
}

function order(client, work) {
  return client.send({
    method: 'POST',
    host: HOST,
    path: `/orders/new?work=${work}`,
    body: Buffer.alloc(4_000, 'o'),
    deadline: DEADLINE_MILLISECONDS,
  });
}

/** LOST: passed on to a target, and its connection ended without a complete answer. */
function findBreach(platform, { id, looksWhole, ending, sentAt, endedAt }) {
  const run = platform.targets.flatMap(({ runs }) => runs).find((one) => one.id === id);
  if (run === undefined || looksWhole) return [];
  const seconds = (endedAt - sentAt).toFixed(2);
  return [
    `LOST: order ${id}, sent over ${EXCUSED_MILLISECONDS / 1_000} s after the signal, was passed on to ` +
      `a target, and its connection ended ${seconds} s later without an answer (${ending})`,
  ];
}

await runCase(dirname(fileURLToPath(import.meta.url)), KREUPEL, play);
