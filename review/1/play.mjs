/**
 * Some targets break off a few of their answers halfway: the connection is reset. The answers have no
 * length, so that they end with their connection. The daemon takes some of those that were reset for
 * whole, and passes them on as whole successes with their signature.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import Client from '../lib/Client.mjs';
import { sleep } from '../lib/Platform.mjs';
import runCase from '../lib/runCase.mjs';
import { createCluster, createRule, KREUPEL, LIMITS } from '../lib/sites.mjs';

const HOST = 'catalogue.example';
const HOSTS = [
  { name: 'edge-wcape-a-1', zone: 'wcape-a', region: 'wcape' },
  { name: 'edge-wcape-a-2', zone: 'wcape-a', region: 'wcape' },
];
const TARGETS = 5;
const CLIENTS = 24;
/** The longest answer of the sheet's site to a stock read. */
const ANSWER_BYTES = 2_400;
const WORK_MILLISECONDS = 60;
const DEADLINE_MILLISECONDS = 6_000;
const CALM_MILLISECONDS = 2_000;
/** The dose: `garble` for 5 s, at 0.6 of the targets, with one answer in twenty. */
const TROUBLE_MILLISECONDS = 5_000;
const FAULTY_SHARE = 0.6;
const BREAK_SHARE = 0.05;

async function play({ platform, record, hasTrouble }) {
  await startSystem(platform);
  const endAt = performance.now() + 2 * CALM_MILLISECONDS + TROUBLE_MILLISECONDS;
  const workers = Array.from({ length: CLIENTS }, (_, number) =>
    readStock({ platform, record, number, endAt }),
  );
  await sleep(CALM_MILLISECONDS);
  const faulty = platform.targets.slice(0, TARGETS * FAULTY_SHARE);
  if (hasTrouble) {
    record.say('three targets break off one answer in twenty');
    faulty.forEach((target) => Object.assign(target, { breakShare: BREAK_SHARE }));
  }
  await sleep(TROUBLE_MILLISECONDS);
  faulty.forEach((target) => Object.assign(target, { breakShare: 0 }));
  const results = (await Promise.all(workers)).flat();
  const broken = platform.targets.reduce((sum, target) => sum + target.broken.size, 0);
  record.say(`${results.length} requests; ${broken} answers broke off`);
  return results.flatMap((result) => findBreach(result));
}

async function startSystem(platform) {
  await platform.start(HOSTS);
  for (let number = 1; number <= TARGETS; number += 1) {
    const id = `i-catalogue${number}`;
    await platform.addTarget({ id, service: 'catalogue', zone: 'wcape-a', slots: 6 });
  }
  const rule = createRule({
    prefix: '/stock/',
    kind: 'idempotent',
    service: 'catalogue',
    timeout: DEADLINE_MILLISECONDS,
  });
  platform.configure({
    limits: LIMITS,
    listeners: [{ host: HOST, rules: [rule] }],
    clusters: [createCluster('catalogue')],
  });
  await platform.whenReady();
  await sleep(1_000);
}

/** One client: it reads one item after the other until the time is over. */
async function readStock({ platform, record, number, endAt }) {
  const results = [];
  const { front } = platform.daemons[number % HOSTS.length];
  const work = `work=${WORK_MILLISECONDS}&bytes=${ANSWER_BYTES}&length=none`;
  while (performance.now() < endAt) {
    const client = await new Client(front, record).open();
    const path = `/stock/${number}-${results.length}?${work}`;
    const request = { method: 'GET', host: HOST, path, deadline: DEADLINE_MILLISECONDS };
    results.push(await client.send(request));
    client.leave();
  }
  return results;
}

/** MIXED: an answer that was reset on the way reaches the client as a whole success. */
function findBreach({ id, status, fields, looksWhole, bodyBytes }) {
  const isSigned = fields['response-signature'] !== undefined;
  if (status !== 200 || !isSigned || !looksWhole || bodyBytes === ANSWER_BYTES) return [];
  return [
    `MIXED: ${id} got 200 with the target's signature and ${bodyBytes} of ${ANSWER_BYTES} bytes, ` +
      'which look complete',
  ];
}

await runCase(dirname(fileURLToPath(import.meta.url)), KREUPEL, play);
