import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { Stop } from '@cactusrun/core';
import { createRandom, systemClock } from '@cactusrun/core';
import StandInUpstream, {
  IDENTITY_HEADER,
  REQUEST_ID_HEADER,
  STATE_HEADER,
} from '../../StandInUpstream.js';

const HOST = '127.0.77.7';
const FIRST_PORT = 18_100;

describe('StandInUpstream', () => {
  let upstream: StandInUpstream;
  let stop: Stop;
  let port = FIRST_PORT;
  let address = '';

  beforeEach(async () => {
    // Each test has its own port, since the client keeps connections of earlier tests open.
    port += 1;
    address = `${HOST}:${port}`;
    upstream = new StandInUpstream({
      name: 'a',
      address,
      slots: 1,
      workMilliseconds: 1,
      coldMilliseconds: 0,
      clock: systemClock,
      random: createRandom(1),
    });
    stop = await upstream.start();
  });

  afterEach(() => stop());

  const work = (body = 'lamp', signal?: AbortSignal) =>
    fetch(`http://${address}/orders`, {
      method: 'POST',
      body,
      headers: { [IDENTITY_HEADER]: 'one', [REQUEST_ID_HEADER]: 'attempt-1' },
      ...(signal === undefined ? {} : { signal }),
    });
  const probe = async () => (await fetch(`http://${address}/.health`)).json();

  it('runs a request and answers with its identity', async () => {
    const answer = (await (await work()).json()) as { identity: string; bytes: number };
    expect([answer.identity, answer.bytes]).toEqual(['one', 4]);
    expect(upstream.runs).toHaveLength(1);
  });

  it('repeats the identifier of the attempt in answers and refusals', async () => {
    expect((await work()).headers.get(REQUEST_ID_HEADER)).toBe('attempt-1');
    upstream.faults.isDraining = true;
    const refusal = await work();
    expect([refusal.status, refusal.headers.get(REQUEST_ID_HEADER)]).toEqual([503, 'attempt-1']);
  });

  it('sheds requests above its slots, and answers probes while requests stall', async () => {
    upstream.faults.stalls = true;
    const controller = new AbortController();
    const stalled = work('x', controller.signal).catch(() => 'cut');
    while (upstream.runs.length === 0) {
      // eslint-disable-next-line no-await-in-loop
      await systemClock.sleep(2);
    }
    const shedResponse = await work();
    expect([shedResponse.status, shedResponse.headers.get(STATE_HEADER)]).toEqual([503, 'shed']);
    expect(await probe()).toEqual({ load: 1, isDraining: false });
    upstream.faults.reportsIdle = true;
    expect(await probe()).toEqual({ load: 0, isDraining: false });
    upstream.faults.reportsIdle = false;
    upstream.faults.reportLagMilliseconds = 3_600_000;
    expect(await probe()).toEqual({ load: 0, isDraining: false });
    controller.abort();
    expect(await stalled).toBe('cut');
  });

  it.each([
    ['refuses requests while it drains', { isDraining: true }, 503],
    ['answers with errors', { errorRate: 1 }, 500],
  ])('%s when the fault is set', async (_, faults, status) => {
    Object.assign(upstream.faults, faults);
    expect((await work()).status).toBe(status);
  });

  it('crashes on a poison request, and restarts', async () => {
    upstream.faults.crashText = 'bad';
    await expect(work('a bad one')).rejects.toThrow();
    expect(upstream.crashes).toBe(1);
    let status = 0;
    while (status !== 200) {
      // eslint-disable-next-line no-await-in-loop
      status = await work().then(
        (response) => response.status,
        () => systemClock.sleep(20).then(() => 0),
      );
    }
    expect(status).toBe(200);
  });

  it('closes connections in the middle of answers', async () => {
    upstream.faults.cutsAnswers = true;
    await expect(work().then((response) => response.text())).rejects.toThrow();
  });
});
