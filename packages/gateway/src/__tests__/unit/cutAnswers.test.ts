/**
 * Guards against an answer that breaks off and looks whole: a target, or a peer that relays, stops
 * after each byte of its answer and closes or resets the connection.
 */
import type { Socket } from 'node:net';
import { Counters, createRandom, ManualClock, silentLogger, systemClock } from '@cactusrun/core';
import { ScriptedTarget } from '@cactusrun/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { CallerExchange } from '../../callers/CallerExchange.js';
import IdleReuse from '../../connections/IdleReuse.js';
import type { AttemptResult } from '../../connections/TargetAttempt.js';
import TargetConnections from '../../connections/TargetConnections.js';
import { openConnection } from '../../connections/openConnection.js';
import type { RelayResult } from '../../relay/PeerRelay.js';
import PeerRelay from '../../relay/PeerRelay.js';
import createPeerDescription from './createPeerDescription.js';
import createTargetEntry from './createTargetEntry.js';
import NAMES from './targetFieldNames.js';

const DEADLINE_MILLISECONDS = 10_000;
const LATER_MILLISECONDS = 10;
/** Exchanges that are played at a time. */
const BATCH = 60;
const POLL = { interval: 1, timeout: 10_000 };
/** More than what is buffered whole. */
const LARGE_BODY = 'x'.repeat(1_100_000);

/** How a target ends a connection after the part of its answer. */
const ENDINGS: Readonly<Record<string, (socket: Socket, part: string) => void>> = {
  'and closes': (socket, part) => socket.end(part),
  'and closes later': (socket, part) => {
    socket.write(part);
    setTimeout(() => socket.end(), LATER_MILLISECONDS);
  },
  'and resets': (socket, part) => {
    socket.write(part);
    socket.resetAndDestroy();
  },
  'and resets later': (socket, part) => {
    socket.write(part);
    setTimeout(() => socket.resetAndDestroy(), LATER_MILLISECONDS);
  },
};

interface Answer {
  readonly head: (id: string) => string;
  readonly body: string;
  /** Whether the body ends with the connection. */
  readonly endsWithConnection?: boolean;
  /** Whether the head alone is what the answer says. */
  readonly isRefusal?: boolean;
}

function headOf(id: string, fields: string, status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\nX-Attempt: ${id}\r\nX-Signature: s\r\n${fields}\r\n`;
}

/** Endings after which no answer without a length is whole. */
const RESETS: readonly string[] = ['and resets', 'and resets later'];

const CHUNKS = 'transfer-encoding: chunked\r\n';

const ANSWERS: Readonly<Record<string, Answer>> = {
  'with a length': { head: (id) => headOf(id, 'content-length: 4\r\n'), body: 'body' },
  'with chunks': { head: (id) => headOf(id, CHUNKS), body: '2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n' },
  'with a trailer': {
    head: (id) => headOf(id, `${CHUNKS}trailer: X-Sum\r\n`),
    body: '4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n',
  },
  'after informational heads': {
    head: (id) =>
      `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${headOf(id, 'content-length: 4\r\n')}`,
    body: 'body',
  },
  'after informational heads, without a length': {
    head: (id) => `HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n${headOf(id, '')}`,
    body: 'body',
    endsWithConnection: true,
  },
  'with a refusal': {
    head: (id) =>
      headOf(
        id,
        'X-Not-Run: 1\r\ncactusrun-refusal: unreachable\r\ncontent-length: 2\r\n',
        '503 Full',
      ),
    body: 'no',
    isRefusal: true,
  },
  'with another transfer coding than chunks': {
    head: (id) => headOf(id, 'transfer-encoding: gzip\r\n'),
    body: 'body',
    endsWithConnection: true,
  },
  'without a length': { head: (id) => headOf(id, ''), body: 'body', endsWithConnection: true },
};

describe('an answer that breaks off', () => {
  /** Stands still: no connection times out on a busy machine. */
  const clock = new ManualClock();

  let server: ScriptedTarget;

  /** What is done with a request, by its identifier. */
  let scripts: Map<string, (socket: Socket) => void>;

  let connections: TargetConnections;

  beforeEach(async () => {
    scripts = new Map();
    server = new ScriptedTarget();
    server.follow((socket, received) => {
      const id = /X-Attempt: (\S+)/.exec(received)?.[1];
      if (id !== undefined) scripts.get(id)?.(socket);
    });
    await server.start('127.0.0.1');
    const idleReuse = new IdleReuse(clock);
    const counters = new Counters();
    connections = new TargetConnections(NAMES, idleReuse, clock, counters, openConnection);
  });

  afterEach(async () => {
    connections.close();
    await server.stop();
  });

  function createRequest(id: string) {
    return {
      id,
      method: 'POST',
      path: '/p',
      fields: [['host', 'h']] as const,
      body: Buffer.from('body'),
      kind: 'once' as const,
      deadline: clock.now() + DEADLINE_MILLISECONDS,
    };
  }

  function send(id: string, needsNewConnection = true, pool = connections): Promise<AttemptResult> {
    return pool.send(
      createTargetEntry('target-1', { address: server.address }),
      { ...createRequest(id), isRetry: false, needsNewConnection },
      new AbortController().signal,
    );
  }

  /** Sends a request on a connection of its own that has carried an answer before. */
  async function sendOnKept(id: string): Promise<AttemptResult> {
    const idleReuse = new IdleReuse(clock);
    const counters = new Counters();
    const pool = new TargetConnections(NAMES, idleReuse, clock, counters, openConnection);
    const first = `first-${id}`;
    scripts.set(first, (socket) => socket.write(headOf(first, 'content-length: 0\r\n')));
    await send(first, false, pool);
    await expect.poll(() => pool.hasIdle('target-1', 'once'), POLL).toBe(true);
    const result = await send(id, false, pool);
    pool.close();
    return result;
  }

  function relay(id: string): Promise<RelayResult> {
    const peer = createPeerDescription('peer-1', { relayAddress: server.address });
    const peerRelay = new PeerRelay({
      directory: { relayPeers: () => [peer, { ...peer, name: 'peer-2' }] },
      connections,
      clock,
      random: createRandom(1),
      counters: new Counters(),
      logger: silentLogger,
    });
    const { deadline, kind, ...request } = createRequest(id);
    const exchange: CallerExchange = {
      ...request,
      host: 'h',
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      receivedAt: clock.now(),
      relayed: undefined,
      signal: new AbortController().signal,
      passOn: () => true,
    };
    const statement = { attemptsMade: 0, configurationVersion: 1 };
    return peerRelay.send({ exchange, kind, deadline, statement, needsAuthorization: false });
  }

  /** Plays an answer that breaks off at each of the positions; returns the positions by result. */
  async function cutAt<Result extends { readonly kind: string }>(
    { head, body }: Answer,
    positions: readonly number[],
    end: (socket: Socket, part: string) => void,
    play: (id: string) => Promise<Result>,
  ): Promise<ReadonlyMap<string, readonly number[]>> {
    const batches = Array.from({ length: Math.ceil(positions.length / BATCH) }, (_, index) =>
      positions.slice(index * BATCH, (index + 1) * BATCH),
    );
    const results = await batches.reduce(
      async (before, batch) => [
        ...(await before),
        ...(await Promise.all(
          batch.map(async (position) => {
            const id = idAt(position);
            scripts.set(id, (socket) => end(socket, (head(id) + body).slice(0, position)));
            return [position, (await play(id)).kind] as const;
          }),
        )),
      ],
      Promise.resolve<readonly (readonly [number, string])[]>([]),
    );
    return results.reduce(
      (byKind, [position, kind]) => byKind.set(kind, [...(byKind.get(kind) ?? []), position]),
      new Map<string, readonly number[]>(),
    );
  }

  function idAt(position: number): string {
    return `id-${String(position).padStart(8, '0')}`;
  }

  /** Positions at which the answer is not whole. */
  function positionsOf(
    { head, body, endsWithConnection, isRefusal }: Answer,
    ending: string,
  ): number[] {
    const headLength = head(idAt(0)).length;
    const wholeLength = headLength + body.length;
    // An ordinary end after a head without a length is how such an answer ends.
    const unframedLength = RESETS.includes(ending) ? wholeLength + 1 : headLength;
    const framedLength = isRefusal === true ? headLength : wholeLength;
    const length = endsWithConnection === true ? unframedLength : framedLength;
    return Array.from({ length }, (_, position) => position);
  }

  Object.entries(ANSWERS).forEach(([name, answer]) => {
    Object.entries(ENDINGS).forEach(([ending, end]) => {
      const positions = positionsOf(answer, ending);

      it(`${name} after any byte ${ending} is broken`, async () => {
        const results = await cutAt(answer, positions, end, send);
        expect(results).toEqual(new Map([['broken', positions]]));
      });

      it(`${name} after any byte ${ending} on a kept connection is broken`, async () => {
        const results = await cutAt(answer, positions, end, sendOnKept);
        expect(results).toEqual(new Map([['broken', positions]]));
      });

      it(`${name} after any byte ${ending} at a peer that relays is broken`, async () => {
        const results = await cutAt(answer, positions, end, relay);
        expect(results).toEqual(new Map([['broken', positions]]));
      });
    });

    it(`${name} is answered when it is whole`, async () => {
      const length = answer.head(idAt(0)).length + answer.body.length;
      const results = await cutAt(answer, [length], ENDINGS['and closes']!, send);
      const kind = answer.isRefusal === true ? 'not-run' : 'answered';
      expect(results).toEqual(new Map([[kind, [length]]]));
    });
  });

  describe('after its first part was passed on', () => {
    const size = LARGE_BODY.length;
    const hex = size.toString(16);
    const cuts: Readonly<Record<string, readonly [fields: string, body: string]>> = {
      'in a body with a length': [`content-length: ${size + 1}\r\n`, LARGE_BODY],
      'in a chunk': [CHUNKS, `${(size + 1).toString(16)}\r\n${LARGE_BODY}`],
      'between chunks': [CHUNKS, `${hex}\r\n${LARGE_BODY}\r\n`],
      'in the last chunk': [CHUNKS, `${hex}\r\n${LARGE_BODY}\r\n0\r\n`],
      'in a trailer': [CHUNKS, `${hex}\r\n${LARGE_BODY}\r\n0\r\nX-Sum: 1\r\n`],
    };

    Object.entries(cuts).forEach(([name, [fields, body]]) => {
      Object.entries(ENDINGS).forEach(([ending, end]) => {
        it.each([0, 5 * LATER_MILLISECONDS])(
          `${name} ${ending} is not passed on as whole to a caller who reads after %d ms`,
          async (wait) => {
            scripts.set('id', (socket) => end(socket, headOf('id', fields) + body));
            const result = await send('id');
            if (result.kind !== 'answered') return expect(result.kind).toBe('broken');
            const rest = result.answer.bodyRest!;
            rest.on('error', () => {});
            await systemClock.sleep(wait);
            return expect(rest.toArray()).rejects.toThrow();
          },
        );
      });
    });
  });
});
