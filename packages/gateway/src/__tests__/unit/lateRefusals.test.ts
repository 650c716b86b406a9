/**
 * Guards against a request that is called not run, and run at a second target, because a faulty
 * target writes an earlier refusal once more on a kept connection. The copy is cut in two at every
 * position, and each part is written at every moment around the next request.
 */
import type { Socket } from 'node:net';
import { Counters, ManualClock, systemClock } from '@cactusrun/core';
import { ScriptedTarget } from '@cactusrun/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import IdleReuse from '../../connections/IdleReuse.js';
import type { AttemptResult } from '../../connections/TargetAttempt.js';
import TargetConnections from '../../connections/TargetConnections.js';
import { openConnection } from '../../connections/openConnection.js';
import createTargetEntry from './createTargetEntry.js';
import NAMES from './targetFieldNames.js';

const DEADLINE_MILLISECONDS = 10_000;
const IDLE_MILLISECONDS = 15;
/** Exchanges that are played at a time. */
const BATCH = 40;

/** When a part of the copy is written, in the order of time. */
const MOMENTS = [
  'in the packet of the first refusal',
  'while the connection is idle',
  'in the moment in which the next request is sent',
  'just after the next request has arrived',
] as const;

type Moment = (typeof MOMENTS)[number];

const REFUSALS: Readonly<Record<string, (id: string) => string>> = {
  'a refusal with its identifier': (id) =>
    `HTTP/1.1 503 Full\r\nX-Attempt: ${id}\r\nX-Not-Run: 1\r\ncontent-length: 2\r\n\r\nno`,
  'a refusal without an identifier': () =>
    'HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\ncontent-length: 0\r\n\r\n',
  'a refusal in chunks': (id) =>
    `HTTP/1.1 503 Full\r\nX-Attempt: ${id}\r\nX-Not-Run: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n`,
  'a misdirection without an identifier': () => 'HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n',
};

describe('a refusal that a target writes once more on a kept connection', () => {
  /** Stands still: no connection times out on a busy machine. */
  const clock = new ManualClock();

  let server: ScriptedTarget;

  /** What the target does with a request, by its identifier. */
  let scripts: Map<string, (socket: Socket) => void>;

  let pools: TargetConnections[];

  /** How often each request has reached the target. */
  let arrivals: Map<string, number>;

  beforeEach(async () => {
    scripts = new Map();
    pools = [];
    arrivals = new Map();
    server = new ScriptedTarget();
    server.follow((socket, received) => {
      const id = /X-Attempt: (\S+)/.exec(received)?.[1];
      if (id === undefined) return;
      arrivals.set(id, (arrivals.get(id) ?? 0) + 1);
      scripts.get(id)?.(socket);
    });
    await server.start('127.0.0.1');
  });

  afterEach(async () => {
    pools.forEach((pool) => pool.close());
    await server.stop();
  });

  function send(connections: TargetConnections, id: string): Promise<AttemptResult> {
    return connections.send(
      createTargetEntry('target-1', { address: server.address }),
      {
        id,
        method: 'POST',
        path: '/p',
        fields: [['host', 'h']],
        body: Buffer.from('body'),
        kind: 'once',
        isRetry: false,
        needsNewConnection: false,
        deadline: clock.now() + DEADLINE_MILLISECONDS,
      },
      new AbortController().signal,
    );
  }

  /** Sends a request that is refused, and another one that runs; returns what the second gets. */
  async function play(
    name: string,
    refusal: (id: string) => string,
    position: number,
    moments: readonly [Moment, Moment],
  ): Promise<AttemptResult> {
    const idleReuse = new IdleReuse(clock);
    const counters = new Counters();
    const pool = new TargetConnections(NAMES, idleReuse, clock, counters, openConnection);
    pools.push(pool);
    const [first, second] = [`${name}-first`, `${name}-second`];
    const copy = refusal(first);
    const parts = [copy.slice(0, position), copy.slice(position)];
    const partsAt = (moment: Moment) =>
      parts.filter((_, index) => moments[index] === moment).join('');
    let kept: Socket | undefined;
    scripts.set(first, (socket) => {
      kept = socket;
      socket.write(refusal(first) + partsAt('in the packet of the first refusal'));
    });
    scripts.set(second, (socket) => {
      if (socket === kept) socket.write(partsAt('just after the next request has arrived'));
      const answer = `HTTP/1.1 200 OK\r\nX-Attempt: ${second}\r\nX-Signature: s\r\ncontent-length: 2\r\n\r\nok`;
      setTimeout(() => socket.write(answer), IDLE_MILLISECONDS);
    });
    expect((await send(pool, first)).kind).toBe('not-run');
    await systemClock.sleep(IDLE_MILLISECONDS);
    kept?.write(partsAt('while the connection is idle'));
    await systemClock.sleep(IDLE_MILLISECONDS);
    kept?.write(partsAt('in the moment in which the next request is sent'));
    return send(pool, second);
  }

  /** What the second request gets, for a copy that is cut in two at every position. */
  async function playAll(
    refusal: (id: string) => string,
    moments: readonly [Moment, Moment],
  ): Promise<readonly AttemptResult[]> {
    const positions = Array.from({ length: refusal('000-first').length }, (_, place) => place + 1);
    const batches = Array.from({ length: Math.ceil(positions.length / BATCH) }, (_, place) =>
      positions.slice(place * BATCH, (place + 1) * BATCH),
    );
    return batches.reduce(
      async (before, batch) => [
        ...(await before),
        ...(await Promise.all(
          batch.map((position) =>
            play(String(position).padStart(3, '0'), refusal, position, moments),
          ),
        )),
      ],
      Promise.resolve<readonly AttemptResult[]>([]),
    );
  }

  Object.entries(REFUSALS).forEach(([name, refusal]) => {
    describe(name, () => {
      MOMENTS.forEach((start, index) => {
        MOMENTS.slice(index).forEach((end) => {
          it(`${start}, to its end ${end}, does not make the next request not run`, async () => {
            const results = await playAll(refusal, [start, end]);
            const kinds = results.map(({ kind }) => kind);
            expect(kinds).not.toContain('not-run');
            expect(kinds).not.toContain('not-sent');
            const answers = results.flatMap((result) =>
              result.kind === 'answered' ? [result.answer] : [],
            );
            expect(answers.every(({ status }) => status === 200)).toBe(true);
            expect([...arrivals.values()].every((count) => count === 1)).toBe(true);
          });
        });
      });
    });
  });
});
