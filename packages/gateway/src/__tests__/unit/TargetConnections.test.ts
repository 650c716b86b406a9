import type { Server, Socket } from 'node:net';
import { createServer } from 'node:net';
import { Counters, ManualClock, systemClock } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import IdleReuse, { RECENT_USE_MILLISECONDS } from '../../connections/IdleReuse.js';
import type { AttemptResult, OutgoingRequest } from '../../connections/TargetAttempt.js';
import { openConnection } from '../../connections/openConnection.js';
import TargetConnections from '../../connections/TargetConnections.js';
import type { TargetEntry } from '../../state/TargetEntry.js';
import createTargetEntry from './createTargetEntry.js';
import settleConnections from './settleConnections.js';
import NAMES from './targetFieldNames.js';

type Script = (socket: Socket, attempt: string, count: number) => void;

function head(attempt: string, length: number | undefined, status = '200 OK', more = ''): string {
  const framing = length === undefined ? '' : `content-length: ${length}\r\n`;
  return `HTTP/1.1 ${status}\r\nX-Attempt: ${attempt}\r\nX-Signature: s\r\n${framing}${more}\r\n`;
}

describe('TargetConnections', () => {
  let server: Server;
  let connections: TargetConnections;
  let idleReuse: IdleReuse;
  let sockets: Socket[];
  let requests: string[];
  let script: Script;
  let nextId = 0;

  beforeEach(async () => {
    sockets = [];
    requests = [];
    idleReuse = new IdleReuse(systemClock);
    connections = new TargetConnections(
      NAMES,
      idleReuse,
      systemClock,
      new Counters(),
      openConnection,
    );
    server = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => {});
      socket.on('data', (bytes) => {
        const text = bytes.toString();
        const attempt = /X-Attempt: (\S+)/.exec(text)?.[1];
        if (attempt === undefined) return;
        requests.push(text);
        script(socket, attempt, requests.length);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(async () => {
    connections.close();
    sockets.forEach((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
  });

  function entry(): TargetEntry {
    const { port } = server.address() as { port: number };
    return createTargetEntry('target-1', { address: `127.0.0.1:${port}` });
  }

  function send(
    change: Partial<OutgoingRequest> = {},
    signal?: AbortSignal,
  ): Promise<AttemptResult> {
    const request = createRequest(change);
    return connections.send(entry(), request, signal ?? new AbortController().signal);
  }

  function createRequest(change: Partial<OutgoingRequest> = {}): OutgoingRequest {
    nextId += 1;
    return {
      id: `attempt-${nextId}`,
      method: 'POST',
      path: '/p/a?b=c',
      fields: [['host', 'h.example']],
      body: Buffer.from('body'),
      kind: 'once',
      isRetry: false,
      needsNewConnection: false,
      deadline: systemClock.now() + 5_000,
      ...change,
    };
  }

  function bodyOf(result: AttemptResult): string | undefined {
    return result.kind === 'answered' ? result.answer.bodyStart.toString() : undefined;
  }

  describe('an address that cannot be connected to', () => {
    it.each(['127.0.0.1:70000', '127.0.0.1:-1', '127.0.0.1:port', 'none', ''])(
      '%j leaves the request unsent',
      async (address) => {
        const target = createTargetEntry('target-1', { address });
        const result = connections.send(target, createRequest(), new AbortController().signal);
        expect(await result).toMatchObject({ kind: 'not-sent' });
      },
    );
  });

  describe('a complete answer', () => {
    it('is returned with its body, and the connection carries the next request', async () => {
      script = (socket, attempt) => socket.write(`${head(attempt, 2)}ok`);
      expect(bodyOf(await send())).toBe('ok');
      await systemClock.sleep(10);
      expect(bodyOf(await send())).toBe('ok');
      expect(sockets).toHaveLength(1);
    });

    it('follows a request with method, path, body, remaining time and the expected target', async () => {
      script = (socket, attempt) => socket.write(`${head(attempt, 0)}`);
      await send();
      const [text] = requests;
      expect(text).toContain('POST /p/a?b=c HTTP/1.1');
      expect(text).toContain('X-Expected: target-1');
      expect(text).toMatch(/X-Deadline: \d+/);
      expect(text?.endsWith('\r\n\r\nbody')).toBe(true);
    });

    it('may end with its connection', async () => {
      script = (socket, attempt) => socket.end(`${head(attempt, undefined)}whole`);
      expect(bodyOf(await send())).toBe('whole');
    });

    it('includes the load that the target reports', async () => {
      script = (socket, attempt) =>
        socket.write(`${head(attempt, 0, '200 OK', 'X-Load: 3,2,8\r\n')}`);
      const result = await send();
      expect(result.kind === 'answered' && result.answer.stated.requests).toBe(5);
    });
  });

  describe('that a target is leaving', () => {
    it.each([
      ['X-Leaving: 1\r\n', true],
      ['X-Leaving: 0\r\n', false],
      ['', false],
    ])('is read from %j, also in a refusal', async (field, isLeaving) => {
      script = (socket, attempt) => socket.write(head(attempt, 0, '200 OK', field));
      expect(await send()).toMatchObject({ answer: { stated: { isLeaving } } });
      script = (socket, attempt) =>
        socket.write(head(attempt, 0, '503 Full', `X-Not-Run: 1\r\n${field}`));
      expect(await send()).toMatchObject({ kind: 'not-run', stated: { isLeaving } });
    });
  });

  describe('the backoff that a target asks for', () => {
    it.each([
      ['503 Full', 'Retry-After: 2\r\n', 2_000],
      ['503 Full', 'Retry-After: 0.5\r\n', 500],
      ['503 Full', '', undefined],
      ['503 Full', 'Retry-After: soon\r\n', undefined],
      ['429 Many', 'Retry-After: 2\r\n', undefined],
    ])('is read from %s with %j', async (status, field, backoffMilliseconds) => {
      script = (socket, attempt) =>
        socket.write(head(attempt, 0, status, `X-Not-Run: 1\r\n${field}`));
      expect(await send()).toMatchObject({ kind: 'not-run', stated: { backoffMilliseconds } });
    });

    it('is not read from the refusal of another target', async () => {
      script = (socket, attempt) =>
        socket.write(head(attempt, 0, '421 Misdirected', 'Retry-After: 2\r\nX-Leaving: 1\r\n'));
      const stated = { isLeaving: false, backoffMilliseconds: undefined };
      expect(await send()).toMatchObject({ kind: 'not-run', reason: 'other-target', stated });
    });
  });

  describe('the rate limit that a target states', () => {
    const CASES: readonly (readonly [string, number | 'unlimited' | undefined])[] = [
      ['X-Rate-Limit: 2.5\r\n', 2.5],
      ['X-Rate-Limit: 0\r\n', 0],
      ['X-Rate-Limit: 40\r\n', 40],
      ['', 'unlimited'],
      ['X-Rate-Limit: many\r\n', undefined],
      ['X-Rate-Limit: -1\r\n', undefined],
      ['X-Rate-Limit: 1e3\r\n', undefined],
    ];
    CASES.forEach(([field, expected]) => {
      it(`is ${String(expected)} for ${JSON.stringify(field)}, also in a refusal`, async () => {
        script = (socket, attempt) => socket.write(head(attempt, 0, '200 OK', field));
        const result = await send();
        expect(result.kind === 'answered' && result.answer.stated.rateLimit).toBe(expected);
        script = (socket, attempt) =>
          socket.write(head(attempt, 0, '503 Full', `X-Not-Run: 1\r\n${field}`));
        expect(await send()).toMatchObject({ kind: 'not-run', stated: { rateLimit: expected } });
      });
    });
  });

  describe('bytes that belong to no request', () => {
    it('close an idle connection', async () => {
      script = (socket, attempt) => {
        socket.write(`${head(attempt, 2)}ok`);
        setTimeout(() => socket.write(`${head('attempt-old', 3)}old`), 10);
      };
      expect(bodyOf(await send())).toBe('ok');
      await settleConnections();
      expect(bodyOf(await send())).toBe('ok');
      expect(sockets).toHaveLength(2);
    });

    it('do not affect the answer before them', async () => {
      script = (socket, attempt) =>
        socket.write(`${head(attempt, 2)}ok${head('attempt-old', 3)}old`);
      expect(bodyOf(await send())).toBe('ok');
      await systemClock.sleep(10);
      expect(bodyOf(await send())).toBe('ok');
    });

    it('are not taken for the answer of the next request', async () => {
      script = (socket, attempt, count) =>
        socket.write(count === 1 ? `${head(attempt, 2)}ok` : `${head('attempt-old', 3)}old`);
      await send();
      await systemClock.sleep(10);
      expect((await send()).kind).toBe('broken');
    });
  });

  describe('invalid answers', () => {
    it('are detected when an answer is truncated', async () => {
      script = (socket, attempt) => socket.end(`${head(attempt, 10)}short`);
      expect((await send()).kind).toBe('broken');
    });

    it('are detected when an answer without a length is reset', async () => {
      script = (socket, attempt) => {
        socket.write(`${head(attempt, undefined)}part`);
        setTimeout(() => socket.resetAndDestroy(), 20);
      };
      expect((await send()).kind).toBe('broken');
    });

    it('are detected when bytes are not HTTP', async () => {
      script = (socket) => socket.write('rubbish\r\n\r\n');
      expect((await send()).kind).toBe('broken');
    });

    it('are detected when the connection closes before any answer', async () => {
      script = (socket) => socket.destroy();
      expect((await send()).kind).toBe('broken');
    });
  });

  describe('a connection that the target dropped while it was idle', () => {
    let clock: ManualClock;

    beforeEach(() => {
      clock = new ManualClock();
      idleReuse = new IdleReuse(clock);
      connections = new TargetConnections(NAMES, idleReuse, clock, new Counters(), openConnection);
    });

    /** Answers on new connections, and resets those that carry a second request. */
    function answerOnce(): Script {
      const used = new Set<Socket>();
      return (socket, attempt) => {
        if (used.has(socket)) {
          socket.resetAndDestroy();
          return;
        }
        used.add(socket);
        socket.write(`${head(attempt, 2)}ok`);
      };
    }

    it('is distinguished from one that breaks in use', async () => {
      script = answerOnce();
      await send();
      clock.pause(RECENT_USE_MILLISECONDS + 50);
      expect((await send()).kind).toBe('dropped');
      await send();
      expect((await send()).kind).toBe('broken');
    });

    it('had not dropped it if an informational answer came', async () => {
      let hasAnswered = false;
      script = (socket, attempt) => {
        if (hasAnswered) socket.write('HTTP/1.1 102 Processing\r\n\r\n', () => socket.destroy());
        else socket.write(`${head(attempt, 2)}ok`);
        hasAnswered = true;
      };
      await send();
      clock.pause(RECENT_USE_MILLISECONDS + 50);
      expect((await send()).kind).toBe('broken');
    });

    it('is reused only soon after its last use once a drop is known', async () => {
      script = answerOnce();
      idleReuse.recordDrop('target-1');
      await send();
      clock.pause(RECENT_USE_MILLISECONDS + 50);
      expect((await send()).kind).toBe('answered');
    });
  });

  describe('requests that were not run', () => {
    it('include those that a full target refused', async () => {
      script = (socket) =>
        socket.write('HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\ncontent-length: 0\r\n\r\n');
      expect(await send()).toMatchObject({ kind: 'not-run', reason: 'full' });
    });

    it('include those that reached another target at the address', async () => {
      script = (socket) => socket.write('HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n');
      expect(await send()).toMatchObject({ kind: 'not-run', reason: 'other-target' });
    });

    it('include those to an address that refuses connections', async () => {
      const target = { ...entry(), address: '127.0.0.1:1' };
      const request: OutgoingRequest = {
        id: 'a',
        method: 'GET',
        path: '/',
        fields: [],
        body: Buffer.alloc(0),
        kind: 'once',
        isRetry: false,
        needsNewConnection: false,
        deadline: systemClock.now() + 1_000,
      };
      const result = await connections.send(target, request, new AbortController().signal);
      expect(result).toMatchObject({ kind: 'not-sent', isRefused: true });
    });
  });

  describe('deadlines and disconnected callers', () => {
    it('ends the attempt at the deadline and closes the connection', async () => {
      script = () => {};
      expect(await send({ deadline: systemClock.now() + 30 })).toEqual({ kind: 'timeout' });
      await systemClock.sleep(20);
      expect(sockets[0]?.destroyed).toBe(true);
    });

    it('sends nothing for a caller that has already disconnected', async () => {
      const result = await send({}, AbortSignal.abort());
      expect(result.kind).toBe('cancelled');
      expect(requests).toHaveLength(0);
    });

    it('closes the connection when the caller disconnects', async () => {
      script = () => {};
      const controller = new AbortController();
      setTimeout(() => controller.abort(), 20);
      expect(await send({}, controller.signal)).toEqual({ kind: 'cancelled' });
      await systemClock.sleep(20);
      expect(sockets[0]?.destroyed).toBe(true);
    });
  });
});
