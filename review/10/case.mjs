/**
 * A request that crashes each target which begins to run it comes again now and then, at any daemon,
 * while the daemons are restarted one after the other, as for an upgrade.
 */
import { runCase, sleep } from '../lib-2/deployment.mjs';
import Client from '../lib-2/client.mjs';

const HOST = 'orders.example';
const POISON = 'order with a broken drawing';
const TARGETS = 8;
const DAEMONS = 4;
const WARM_UP_MILLISECONDS = 4_000;
const ORDER_INTERVAL_MILLISECONDS = 400;
/** A crash comes after this time of work. */
const WORK_MILLISECONDS = 200;
const DOWN_MILLISECONDS = 3_000;
const SILENCE_MILLISECONDS = 4_500;
/** The request comes again at intervals of this. */
const POISON_INTERVAL_MILLISECONDS = 3_000;
const GRACE_MILLISECONDS = 6_000;
/** The bounds of the rule. */
const STABILITY_WINDOW_MILLISECONDS = 4_000;
const CRASHES_BEFORE = 3;
const RETRIES_ALLOWED = 3;

await runCase(process.argv[2], async ({ record, hasTrouble, create }) => {
  const deployment = await create();
  const crashes = [];
  const arrivals = [];
  /** Daemon to which each attempt of the repeated request was sent, and whether it was in touch. */
  const senders = new Map();
  let lostOrders = 0;

  const restartTarget = async (target, crashedId) => {
    await sleep(DOWN_MILLISECONDS);
    await target.start(deployment.nextId());
    record.add(`target ${target.id}: started on ${target.address}, after ${crashedId} crashed`);
    // The entry of the process that crashed goes after three heartbeats without a word.
    await sleep(SILENCE_MILLISECONDS - DOWN_MILLISECONDS);
    deployment.store.put('keyed.servers', crashedId, undefined);
  };
  const prepare = (target) => {
    target.workMilliseconds = () => WORK_MILLISECONDS;
    target.onArrival = (arrival) => {
      if (arrival.body !== POISON) return;
      arrivals.push(arrival);
      record.add(`target ${arrival.target}: begins the repeated request ${arrival.attempt}`);
      setTimeout(() => {
        if (target.id !== arrival.target || !target.isRunning) return;
        crashes.push(performance.now());
        record.add(`target ${arrival.target}: crashes`);
        target.kill();
        restartTarget(target, arrival.target).catch((error) => record.add(error.stack));
      }, WORK_MILLISECONDS / 2);
    };
    target.onRun = ({ attempt, target: id }) => record.add(`target ${id}: ran ${attempt}`);
  };

  deployment.configure([
    { host: HOST, prefix: '/orders/', kind: 'non_idempotent', service: 'orders' },
  ]);
  for (let index = 0; index < TARGETS; index += 1) {
    await deployment.addTarget({ service: 'orders', zone: 'a', prepare });
  }
  await deployment.startDaemons(Array(DAEMONS).fill('a'), { a: 'region-1' });
  const { daemons } = deployment;

  const client = new Client();
  const inTouchFrom = new Map();
  const isStopping = new Set();
  const send = async (daemon, body) => {
    const request = { front: daemon.front, host: HOST, method: 'POST', path: '/orders/new', body };
    const result = await client.send(request);
    record.add(`client: ${result.attempt} at ${daemon.name} ended with ${result.status}`);
    return result;
  };
  let isOver = false;
  const orders = daemons.map(async (daemon, number) => {
    await sleep(number * 90);
    for (let order = 1; !isOver; order += 1) {
      if (!isStopping.has(daemon)) {
        send(daemon, `order ${daemon.name} ${order}`).then(({ status }) => {
          if (status !== 200 && !isStopping.has(daemon)) lostOrders += 1;
        });
      }
      await sleep(ORDER_INTERVAL_MILLISECONDS);
    }
  });
  const sendPoison = async (daemon) => {
    const isInTouch = performance.now() >= (inTouchFrom.get(daemon) ?? 0);
    const result = await send(daemon, POISON);
    senders.set(result.attempt, isInTouch);
    await sleep(POISON_INTERVAL_MILLISECONDS);
  };
  const restartDaemon = async (daemon) => {
    isStopping.add(daemon);
    record.add(`${daemon.name}: SIGTERM`);
    const { code, signal } = await daemon.terminate(GRACE_MILLISECONDS);
    record.add(`${daemon.name}: ended with ${code ?? signal}, starts again`);
    daemon.start();
    await deployment.awaitReady(daemon);
    isStopping.delete(daemon);
    inTouchFrom.set(daemon, performance.now() + STABILITY_WINDOW_MILLISECONDS);
    record.add(`${daemon.name}: ready`);
    await sleep(STABILITY_WINDOW_MILLISECONDS + 500);
  };

  await sleep(WARM_UP_MILLISECONDS);
  await sendPoison(daemons[0]);
  await sendPoison(daemons[1]);
  await sendPoison(daemons[2]);
  for (const daemon of daemons) {
    if (hasTrouble) await restartDaemon(daemon);
    await sendPoison(daemon);
    await sendPoison(daemon);
    await sendPoison(daemons[(daemons.indexOf(daemon) + 1) % DAEMONS]);
  }
  isOver = true;
  await Promise.all(orders);
  client.close();

  const third = crashes[CRASHES_BEFORE - 1];
  const late =
    third === undefined
      ? []
      : arrivals.filter(
          ({ at, attempt }) =>
            at > third + STABILITY_WINDOW_MILLISECONDS && senders.get(attempt) === true,
        );
  record.say(
    `the repeated request crashed ${crashes.length} targets; machines in touch sent it to targets ` +
      `${late.length} times later than ${STABILITY_WINDOW_MILLISECONDS} ms after the third crash ` +
      `(allowed: ${RETRIES_ALLOWED}); ${lostOrders} other orders were not answered with success`,
  );
  return late.length > RETRIES_ALLOWED;
});
