/**
 * Guards against a request that is broken off because of another one: an exchange that has handed
 * its connection back, and whose caller goes afterwards, must not close it under the next request.
 */
import type { Socket } from 'node:net';
import type { PassThrough, Readable } from 'node:stream';
import { finished } from 'node:stream/promises';
import { Counters, ManualClock, systemClock } from '@cactusrun/core';
import { ScriptedTarget } from '@cactusrun/stand-ins';
import * as fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import IdleReuse from '../../connections/IdleReuse.js';
import type { AttemptResult } from '../../connections/TargetAttempt.js';
import TargetConnections from '../../connections/TargetConnections.js';
import { openConnection } from '../../connections/openConnection.js';
import createTargetEntry from './createTargetEntry.js';
import NAMES from './targetFieldNames.js';

const SEED = 20_261_205;
const DEADLINE_MILLISECONDS = 1_000;
/** What an answer has at most before its caller gets the first part. */
const BUFFERED_BYTES = 1_048_576;
/** Parts of an answer; what follows the buffered bytes arrives without a reader. */
const PARTS = {
  small: ['a', 'b'],
  large: ['x'.repeat(BUFFERED_BYTES + 1_000), 'y'.repeat(1_000)],
} as const;

const POLL = { interval: 1, timeout: 10_000 };

type Size = keyof typeof PARTS;

/** What may happen to a request that makes it fail. */
type Cause = 'cancel' | 'deadline' | 'reset';

interface Sent {
  readonly size: Size;
  readonly deadline: number;
  readonly controller: AbortController;
  readonly result: Promise<AttemptResult>;
  readonly socket: Socket;
  cause: Cause | undefined;
  partsWritten: number;
}

type Step =
  | { readonly kind: 'send'; readonly size: Size }
  | { readonly kind: 'write' | 'cancel' | 'reset'; readonly index: number }
  | { readonly kind: 'deadline' };

describe('a connection that requests use in turn', () => {
  let server: ScriptedTarget;
  let clock: ManualClock;
  let connections: TargetConnections;
  let sent: Sent[];
  /** Connections that carry a request, by the id of the request. */
  let carriers: Map<string, Socket>;

  beforeEach(async () => {
    server = new ScriptedTarget();
    server.follow((socket, received) => {
      const id = /X-Attempt: (\S+)/.exec(received)?.[1];
      if (id !== undefined) carriers.set(id, socket);
    });
    await server.start('127.0.0.1');
    start();
  });

  afterEach(async () => {
    connections.close();
    await server.stop();
  });

  function start(): void {
    clock = new ManualClock();
    const idleReuse = new IdleReuse(clock);
    connections = new TargetConnections(NAMES, idleReuse, clock, new Counters(), openConnection);
    sent = [];
    carriers = new Map();
  }

  async function send(size: Size): Promise<void> {
    const id = `attempt-${sent.length}`;
    const controller = new AbortController();
    const deadline = clock.now() + DEADLINE_MILLISECONDS;
    const result = connections.send(
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
        deadline,
      },
      controller.signal,
    );
    await expect.poll(() => carriers.get(id), POLL).toBeDefined();
    const socket = carriers.get(id)!;
    const state = { cause: undefined, partsWritten: 0 };
    sent.push({ size, deadline, controller, result, socket, ...state });
  }

  function hasEnded({ size, cause, partsWritten }: Sent): boolean {
    return cause !== undefined || partsWritten === PARTS[size].length;
  }

  /** Writes the next part of an answer, and waits until it has had its effect. */
  async function write(request: Sent): Promise<void> {
    if (hasEnded(request)) return;
    const { size, socket, result, partsWritten } = request;
    const index = sent.indexOf(request);
    const bodyBytes = PARTS[size].join('').length;
    const head = `HTTP/1.1 200 OK\r\nX-Attempt: attempt-${index}\r\nX-Signature: s\r\ncontent-length: ${bodyBytes}\r\n\r\n`;
    socket.write(`${partsWritten === 0 ? head : ''}${PARTS[size][partsWritten] ?? ''}`);
    request.partsWritten += 1;
    if (size === 'small' && !hasEnded(request)) return;
    const rest = restOf(await result);
    if (!hasEnded(request)) return;
    if (rest !== undefined) await expect.poll(() => hasArrived(rest), POLL).toBe(true);
    await settle();
  }

  /** Whether nothing more of a body is to come, though its caller may not have read it. */
  function hasArrived(rest: Readable): boolean {
    return rest.destroyed || (rest as PassThrough).writableEnded;
  }

  async function cancel(request: Sent): Promise<void> {
    if (!hasEnded(request)) request.cause = 'cancel';
    request.controller.abort();
    if (request.cause !== undefined) await request.result;
  }

  async function reset(request: Sent): Promise<void> {
    if (hasEnded(request)) return;
    request.cause = 'reset';
    request.socket.resetAndDestroy();
    const result = await request.result;
    const rest = restOf(result);
    if (rest !== undefined) await finished(rest).catch(() => {});
  }

  /** Lets the next deadline pass. */
  async function passDeadline(): Promise<void> {
    const next = sent.map(({ deadline }) => deadline).filter((at) => at > clock.now());
    if (next.length > 0) await advance(Math.min(...next) - clock.now());
  }

  async function advance(milliseconds: number): Promise<void> {
    await clock.advance(milliseconds);
    sent
      .filter((request) => request.deadline <= clock.now() && !hasEnded(request))
      .forEach((request) => {
        request.cause = 'deadline';
      });
  }

  function restOf(result: AttemptResult): Readable | undefined {
    const rest = result.kind === 'answered' ? result.answer.bodyRest : undefined;
    if (rest !== undefined && rest.listenerCount('error') === 0) rest.on('error', () => {});
    return rest;
  }

  /** Length of the answer that a caller gets; undefined if it is not whole. */
  async function readBytes(result: AttemptResult): Promise<number | undefined> {
    if (result.kind !== 'answered') return undefined;
    const { bodyStart, bodyRest } = result.answer;
    if (bodyRest === undefined) return bodyStart.length;
    const parts = await bodyRest.toArray().catch(() => undefined);
    return parts?.reduce((sum: number, part: Buffer) => sum + part.length, bodyStart.length);
  }

  async function take(step: Step): Promise<void> {
    await advance(1);
    if (step.kind === 'send') await send(step.size);
    if (step.kind === 'deadline') await passDeadline();
    if (!('index' in step) || sent.length === 0) return;
    const request = sent[step.index % sent.length]!;
    await { write, cancel, reset }[step.kind](request);
    restOf(await Promise.race([request.result, { kind: 'timeout' as const }]));
  }

  /** Ends the answers of requests that nothing has harmed, and checks what became of each one. */
  async function check(): Promise<void> {
    const unharmed = sent.filter(({ cause }) => cause === undefined);
    await inTurn(unharmed, write);
    await inTurn(unharmed, write);
    const followed = unharmed.filter(({ controller }) => !controller.signal.aborted);
    const lengths = await Promise.all(followed.map(async ({ result }) => readBytes(await result)));
    expect(lengths).toEqual(followed.map(({ size }) => PARTS[size].join('').length));
    const harmed = sent.filter(({ cause }) => cause !== undefined);
    await expect.poll(() => harmed.every(({ socket }) => socket.destroyed), POLL).toBe(true);
  }

  const index = fc.nat(6);
  const step: fc.Arbitrary<Step> = fc.oneof(
    {
      weight: 4,
      arbitrary: fc.record({ kind: fc.constant('send'), size: fc.constantFrom('small', 'large') }),
    },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant('write'), index }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('cancel', 'reset'), index }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('deadline') }) },
  ) as fc.Arbitrary<Step>;

  it('carries each to its end, whatever becomes of those before it', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 24 }), async (steps) => {
        start();
        await inTurn(steps, take);
        await check();
        connections.close();
      }),
      { seed: SEED, numRuns: 60 },
    );
  });

  it('stays open when the caller of a large answer goes after it was handed back', async () => {
    await inTurn<Step>(
      [
        { kind: 'send', size: 'large' },
        { kind: 'write', index: 0 },
        { kind: 'write', index: 0 },
        { kind: 'send', size: 'small' },
        { kind: 'cancel', index: 0 },
      ],
      take,
    );
    expect(server.sockets).toHaveLength(1);
    await check();
  });
});

/** Waits until what has arrived has had its effect. */
async function settle(): Promise<void> {
  await systemClock.sleep(1);
}

async function inTurn<Item>(
  items: readonly Item[],
  run: (item: Item) => Promise<void>,
): Promise<void> {
  await items.reduce(async (previous, item) => {
    await previous;
    await run(item);
  }, Promise.resolve());
}
