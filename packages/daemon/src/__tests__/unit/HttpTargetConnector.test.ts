import type { Server } from 'node:net';
import { createServer } from 'node:net';
import { Readable } from 'node:stream';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { ConnectionAge, Target } from '@cactusrun/core';
import { systemClock } from '@cactusrun/core';
import type { Attempt, TargetResult } from '@cactusrun/requests';
import HttpTargetConnector from '../../HttpTargetConnector.js';

const HOST = '127.0.77.6';
const CLOSED_PORT = 18_099;
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n';

/**
 * What a target writes on a request, with its identifier in place of {id}; undefined closes the
 * connection, silence writes nothing.
 */
type Answer = string | 'silence' | undefined;

interface Case {
  readonly name: string;
  readonly answers: readonly Answer[];
  readonly kind: TargetResult['kind'];
  readonly isLeaving?: boolean;
  /** The body, or undefined if it is truncated. */
  readonly body?: string;
}

const CASES: readonly Case[] = [
  { name: 'answers completely', answers: [`${HEAD}shade`], kind: 'answered', body: 'shade' },
  { name: 'truncates its answer', answers: [`${HEAD}sh`, undefined], kind: 'answered' },
  {
    name: 'sheds',
    answers: ['HTTP/1.1 503 No\r\nUpstream-State: shed\r\nContent-Length: 0\r\n\r\n'],
    kind: 'shed',
    isLeaving: false,
  },
  {
    name: 'drains',
    answers: ['HTTP/1.1 503 No\r\nUpstream-State: draining\r\nContent-Length: 0\r\n\r\n'],
    kind: 'shed',
    isLeaving: true,
  },
  {
    name: 'answers with status 503 without an upstream state',
    answers: ['HTTP/1.1 503 No\r\nCactusrun-Request-Id: {id}\r\nContent-Length: 5\r\n\r\nshade'],
    kind: 'answered',
    body: 'shade',
  },
  { name: 'closes the connection on a request', answers: [undefined], kind: 'broken' },
  {
    name: 'answers with another protocol',
    answers: ['SSH-2.0\r\n\r\n', undefined],
    kind: 'broken',
  },
  { name: 'does not answer', answers: ['silence'], kind: 'timeout' },
];

function idIn(bytes: Buffer): string {
  return /cactusrun-request-id: (\S*)/i.exec(bytes.toString())?.[1] ?? '';
}

function attemptOf(patch: Partial<Attempt> = {}): Attempt {
  return {
    service: 'stock',
    shard: 'stock/west-a/0',
    method: 'POST',
    path: '/x',
    headers: [['X-Kept', 'yes']],
    body: { head: Buffer.from('lamp'), isWhole: true },
    requestClass: 'non-idempotent',
    priority: 'normal',
    isDeposit: false,
    fingerprint: 'f',
    callerZone: 'east-a',
    deadline: systemClock.now() + 5_000,
    signal: new AbortController().signal,
    ...patch,
  };
}

describe('HttpTargetConnector', () => {
  const connector = new HttpTargetConnector(systemClock, () => 4);
  const requests: string[] = [];
  let servers: readonly Server[] = [];

  beforeAll(async () => {
    servers = await Promise.all(
      CASES.map(async ({ answers }, index) => {
        const server = createServer((socket) => {
          socket.on('error', () => {});
          socket.on('data', (bytes) => {
            requests.push(bytes.toString());
            answers.forEach((answer) => {
              if (answer === undefined) setImmediate(() => socket.destroy());
              else if (answer !== 'silence') socket.write(answer.replace('{id}', idIn(bytes)));
            });
          });
        });
        await new Promise<void>((resolve) => {
          server.listen(18_100 + index, HOST, resolve);
        });
        return server;
      }),
    );
  });

  afterAll(() => {
    connector.close();
    servers.forEach((server) => server.close());
  });

  const targetAt = (port: number): Target => ({
    name: `t${port}`,
    address: `${HOST}:${port}`,
    zone: 'west-a',
  });

  async function send(port: number, attempt = attemptOf(), signal = new AbortController().signal) {
    const sent: ConnectionAge[] = [];
    const result = await connector.send(targetAt(port), attempt, signal, (age) => sent.push(age));
    return { result, sent };
  }

  it.each(CASES.map((row, index) => ({ ...row, port: 18_100 + index })))(
    'returns the result of a request to a target that $name',
    async ({ port, kind, isLeaving, body, answers }) => {
      const controller = new AbortController();
      const sending = send(port, attemptOf(), controller.signal);
      if (answers.includes('silence')) setTimeout(() => controller.abort(), 50);
      const { result, sent } = await sending;
      expect(result.kind).toBe(kind);
      expect(sent).toHaveLength(1);
      if (result.kind === 'shed') expect(result.isLeaving).toBe(isLeaving);
      if (result.kind !== 'answered') return;
      const read = result.body.toArray().then((chunks) => Buffer.concat(chunks).toString());
      if (body === undefined) await expect(read).rejects.toThrow();
      else expect(await read).toBe(body);
    },
  );

  it('returns connect-failed if no connection was made or the request was aborted before', async () => {
    const { result, sent } = await send(CLOSED_PORT);
    expect([result.kind, sent]).toEqual(['connect-failed', []]);
    const aborted = new AbortController();
    aborted.abort();
    const before = requests.length;
    const cancelled = await send(18_100, attemptOf(), aborted.signal);
    expect([cancelled.result.kind, cancelled.sent]).toEqual(['connect-failed', []]);
    expect(requests.length).toBe(before);
  });

  // A contract may hold an address that no socket takes; Node throws where it is used.
  it.each(['0', '65536', '99999', 'x'])('returns connect-failed for port %s', async (port) => {
    const target: Target = { name: 't', address: `${HOST}:${port}`, zone: 'west-a' };
    const sent: ConnectionAge[] = [];
    const { signal } = new AbortController();
    const result = await connector.send(target, attemptOf(), signal, (age) => sent.push(age));
    expect([result.kind, sent]).toEqual(['connect-failed', []]);
  });

  // A request of a peer may hold what Node refuses to write.
  it.each([{ path: '/a b' }, { method: 'GE T' }, { headers: [['a b', 'c']] as const }])(
    'returns connect-failed for a request that cannot be written: %j',
    async (patch) => {
      const { result, sent } = await send(18_100, attemptOf(patch));
      expect([result.kind, sent]).toEqual(['connect-failed', []]);
    },
  );

  it('reports whether a connection was reused', async () => {
    const first = await send(18_104);
    if (first.result.kind === 'answered') await first.result.body.toArray();
    const second = await send(18_104);
    if (second.result.kind === 'answered') await second.result.body.toArray();
    expect(second.sent).toEqual(['reused']);
  });

  it('adds the caller zone and deadline and streams long bodies', async () => {
    requests.length = 0;
    const body = { head: Buffer.from('begin-'), isWhole: false, rest: Readable.from(['end']) };
    const { result } = await send(18_100, attemptOf({ body }));
    expect(result.kind).toBe('answered');
    const text = requests.join('');
    expect(text).toContain('X-Kept: yes'.toLowerCase());
    expect(text).toContain('cactusrun-caller-zone: east-a');
    expect(text).toMatch(/cactusrun-deadline-milliseconds: \d+/);
    expect(text).toMatch(/cactusrun-request-id: [\w-]+\r/);
    expect(text).toContain('begin-');
  });
});
