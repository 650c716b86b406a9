/**
 * A route has a time-out of 300 ms, to which the operator has lowered it; its requests take 30 ms. All
 * daemons are killed right after a configuration was acknowledged, and start again.
 */
import { runCase, sleep } from '../lib-2/deployment.mjs';
import Client from '../lib-2/client.mjs';

const HOST = 'quotes.example';
const TARGETS = 6;
const DAEMONS = 3;
const WORK_MILLISECONDS = 30;
const FIRST_TIMEOUT_MILLISECONDS = 6_000;
const LOWERED_TIMEOUT_MILLISECONDS = 300;
const DEADLINE_MILLISECONDS = 1_500;
const REQUEST_INTERVAL_MILLISECONDS = 100;
const WARM_UP_MILLISECONDS = 5_000;
const STEADY_MILLISECONDS = 20_000;
const DOWN_MILLISECONDS = 1_000;
/** The bounds of the rule. */
const RECOVER_MILLISECONDS = 15_000;
const LEAST_SHARE = 0.25;
const MEASURED_MILLISECONDS = 20_000;

await runCase(process.argv[2], async ({ record, hasTrouble, create }) => {
  const deployment = await create();
  const prepare = (target) => {
    target.workMilliseconds = () => WORK_MILLISECONDS;
    target.onRun = ({ attempt, target: id }) => record.add(`target ${id}: ran ${attempt}`);
  };
  const configure = (timeoutMilliseconds) =>
    deployment.configure([
      {
        host: HOST,
        prefix: '/quotes/',
        kind: 'idempotent',
        service: 'quotes',
        timeoutMilliseconds,
      },
    ]);
  configure(FIRST_TIMEOUT_MILLISECONDS);
  for (let index = 0; index < TARGETS; index += 1) {
    await deployment.addTarget({ service: 'quotes', zone: 'a', prepare });
  }
  await deployment.startDaemons(Array(DAEMONS).fill('a'), { a: 'region-1' });
  const { daemons } = deployment;

  const client = new Client();
  const results = [];
  const reasons = new Map();
  let isOver = false;
  const callers = daemons.map(async (daemon, number) => {
    await sleep(number * 30);
    for (let count = 1; !isOver; count += 1) {
      client
        .send({
          front: daemon.front,
          host: HOST,
          method: 'GET',
          path: `/quotes/${number}-${count}`,
          deadlineMilliseconds: DEADLINE_MILLISECONDS,
        })
        .then((result) => {
          results.push(result);
          const answer = result.status === 200 ? '' : (result.body ?? result.error).trim();
          record.add(
            `client: ${result.attempt} at ${daemon.name} ended with ${result.status} ${answer}`,
          );
          reasons.set(result.attempt, answer);
        });
      await sleep(REQUEST_INTERVAL_MILLISECONDS);
    }
  });
  await sleep(WARM_UP_MILLISECONDS);
  configure(LOWERED_TIMEOUT_MILLISECONDS);
  await sleep(STEADY_MILLISECONDS);
  const faultAt = performance.now();
  configure(LOWERED_TIMEOUT_MILLISECONDS);
  if (hasTrouble) {
    daemons.forEach((daemon) => daemon.signal('SIGKILL'));
    record.add('all daemons: killed');
    await Promise.all(daemons.map(({ exited }) => exited));
    await sleep(DOWN_MILLISECONDS);
    daemons.forEach((daemon) => daemon.start());
    await Promise.all(daemons.map((daemon) => deployment.awaitReady(daemon)));
    record.add('all daemons: back, and ready');
  }
  const backAt = performance.now();
  await sleep(RECOVER_MILLISECONDS + MEASURED_MILLISECONDS);
  isOver = true;
  await Promise.all(callers);
  await sleep(DEADLINE_MILLISECONDS);
  client.close();

  const shareOf = (requests) => {
    const served = requests.filter(({ status, isSigned }) => status === 200 && isSigned);
    return served.length / requests.length;
  };
  const before = results.filter(
    ({ sentAt }) => sentAt < faultAt - 1_000 && sentAt > faultAt - STEADY_MILLISECONDS / 2,
  );
  const after = results.filter(({ sentAt }) => sentAt > backAt + RECOVER_MILLISECONDS);
  const [last] = after.slice(-1);
  record.say(
    `served before the fault: ${shareOf(before).toFixed(3)} of ${before.length} requests; later than ` +
      `${RECOVER_MILLISECONDS} ms after the machines were back: ${shareOf(after).toFixed(3)} of ` +
      `${after.length}; the last one ended with ${last.status} ${reasons.get(last.attempt)}`,
  );
  return shareOf(before) >= LEAST_SHARE && shareOf(after) < LEAST_SHARE;
});
