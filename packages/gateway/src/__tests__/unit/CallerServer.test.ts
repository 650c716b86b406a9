import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { PassThrough } from 'node:stream';
import type { LogFields } from '@cactusrun/core';
import { Counters, createRandom, silentLogger, systemClock } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { CallerExchange, CallerOutcome } from '../../callers/CallerExchange.js';
import CallerServer from '../../callers/CallerServer.js';
import HeldAnswers from '../../callers/HeldAnswers.js';
import type { TargetAnswer } from '../../connections/TargetAttempt.js';
import createTargetAnswer from './createTargetAnswer.js';

const HOST = '127.0.8.1';
const PORT = 18_549;
/** Bytes of answers that the server may hold, and of one that the network does not take at once. */
const HELD_BYTES = 40_000_000;
const LARGE_BYTES = 30_000_000;
/** Longer than a test takes. */
const SERVING_MILLISECONDS = 60_000;
const LIMITS = {
  headerBytes: 1_000,
  bodyBytes: 100,
  headerMilliseconds: 3_000,
  idleMilliseconds: 5_000,
};

function createAnswer(change: Partial<TargetAnswer> = {}): CallerOutcome {
  const whole = { fields: [['X-Signature', 's']], bodyStart: Buffer.from('whole') } as const;
  return { kind: 'answered', answer: createTargetAnswer({ ...whole, ...change }) };
}

describe('CallerServer', () => {
  let server: CallerServer;
  let exchanges: CallerExchange[];
  let handle: (received: CallerExchange) => Promise<CallerOutcome>;
  let sockets: Socket[];
  let heldAnswers: HeldAnswers;
  let warnings: LogFields[];

  beforeEach(async () => {
    exchanges = [];
    sockets = [];
    warnings = [];
    handle = async () => createAnswer();
    heldAnswers = new HeldAnswers(HELD_BYTES);
    server = new CallerServer({
      isForPeers: false,
      address: `${HOST}:${PORT}`,
      names: {
        attemptId: 'X-Attempt',
        deadline: 'X-Deadline',
        reserved: new Set(['x-attempt', 'x-deadline', 'x-expected']),
      },
      clock: systemClock,
      random: createRandom(1),
      counters: new Counters(),
      logger: { ...silentLogger, warn: (event, fields) => warnings.push({ event, ...fields }) },
      limits: () => LIMITS,
      heldAnswers,
      canOverlap: (received) => received.method === 'GET',
      handle: (received) => {
        exchanges.push(received);
        return handle(received);
      },
    });
    await server.start();
  });

  afterEach(() => {
    sockets.forEach((socket) => socket.destroy());
    server.closeNow();
  });

  /** Sends bytes and returns what arrives until the connection ends or `isWhole` holds. */
  function exchange(bytes: string, isWhole: (text: string) => boolean): Promise<string> {
    return new Promise((resolve) => {
      const socket = connect(PORT, HOST);
      sockets.push(socket);
      let text = '';
      socket.on('data', (part) => {
        text += part.toString();
        if (isWhole(text)) resolve(text);
      });
      socket.on('close', () => resolve(text));
      socket.on('error', () => {});
      socket.write(bytes);
    });
  }

  const never = () => false;
  const until = (end: string) => (text: string) => text.endsWith(end);

  function request(more = '', body = ''): string {
    const length = body === '' ? '' : `content-length: ${body.length}\r\n`;
    const head = `POST /a/b?c HTTP/1.1\r\nhost: h.example\r\nX-Attempt: a-1\r\n`;
    return `${head}X-Deadline: 900\r\n${more}${length}\r\n${body}`;
  }

  describe('a request', () => {
    it('is passed on whole, without the header fields of the connection and the gateway', async () => {
      const more = 'X-Expected: t\r\nX-Other: o\r\nConnection: keep-alive, x-hop\r\nX-Hop: h\r\n';
      await exchange(request(more, 'body'), until('whole'));
      expect(exchanges).toMatchObject([
        { id: 'a-1', host: 'h.example', method: 'POST', path: '/a/b?c', deadlineMilliseconds: 900 },
      ]);
      expect(exchanges[0]?.body.toString()).toBe('body');
      expect(exchanges[0]?.fields).toEqual([
        ['host', 'h.example'],
        ['X-Other', 'o'],
      ]);
    });

    it('is aborted when its caller disconnects', async () => {
      handle = () => new Promise(() => {});
      exchange(request('', 'body'), never).catch(() => {});
      await systemClock.sleep(50);
      sockets[0]?.destroy();
      await systemClock.sleep(50);
      expect(exchanges[0]?.signal.aborted).toBe(true);
    });
  });

  describe('a request whose handling fails', () => {
    beforeEach(() => {
      handle = async () => {
        throw new Error('no such port');
      };
    });

    it('gets an answer that does not promise that it was not run', async () => {
      const text = await exchange(request(), until('}\n'));
      expect(text).toMatch(/^HTTP\/1.1 502 /);
      expect(text).toContain('"reason":"internal-error"');
      expect(text).toContain('"notRun":false');
      expect(text.toLowerCase()).not.toContain('retry-after');
    });

    it('is logged with its identity and the cause', async () => {
      await exchange(request(), until('}\n'));
      expect(warnings).toEqual([
        { event: 'request-handling-failed', request: 'a-1', cause: 'no such port' },
      ]);
    });
  });

  describe('an answer that its caller does not read', () => {
    beforeEach(() => {
      handle = async () => createAnswer({ bodyStart: Buffer.alloc(LARGE_BYTES) });
    });

    function requestWithoutReading(): Promise<Socket> {
      return new Promise((resolve) => {
        const socket = connect(PORT, HOST);
        sockets.push(socket);
        socket.pause();
        socket.on('error', () => {});
        socket.write(request(), () => resolve(socket));
      });
    }

    it('is held, and cut when answers to others need the room', async () => {
      const slow = await requestWithoutReading();
      await systemClock.sleep(100);
      expect(heldAnswers.heldBytes).toBe(LARGE_BYTES);
      const text = await exchange(request(), (read) => read.length > LARGE_BYTES);
      expect(text.length).toBeGreaterThan(LARGE_BYTES);
      let received = 0;
      slow.on('data', (part) => {
        received += part.length;
      });
      await new Promise((resolve) => {
        slow.on('close', resolve);
        slow.resume();
      });
      expect(received).toBeLessThan(LARGE_BYTES);
    });

    it('is no longer held once its caller is gone', async () => {
      const slow = await requestWithoutReading();
      await systemClock.sleep(100);
      slow.destroy();
      await systemClock.sleep(100);
      expect(heldAnswers.heldBytes).toBe(0);
    });

    it('is no longer held behind another one once its caller is gone', async () => {
      handle = ({ path }) => {
        const isLate = path === '/late';
        return isLate ? new Promise(() => {}) : Promise.resolve(createAnswer());
      };
      const get = (path: string) => `GET ${path} HTTP/1.1\r\nhost: h.example\r\n\r\n`;
      exchange(`${get('/late')}${get('/early')}`, never).catch(() => {});
      await systemClock.sleep(100);
      expect(heldAnswers.heldBytes).toBe('whole'.length);
      sockets[0]?.destroy();
      await systemClock.sleep(100);
      expect(heldAnswers.heldBytes).toBe(0);
    });

    it('is no longer held once its caller has read it', async () => {
      await exchange(request(), (read) => read.length > LARGE_BYTES);
      await systemClock.sleep(100);
      expect(heldAnswers.heldBytes).toBe(0);
    });
  });

  describe('an answer', () => {
    it('with a length keeps the connection open', async () => {
      const text = await exchange(request(), until('whole'));
      expect(text).toContain('content-length: 5');
      expect(text).not.toContain('connection: close');
    });

    it('whose target stated no length gets one when it is whole, and keeps the connection', async () => {
      handle = async () => createAnswer({ isFramed: false });
      const text = await exchange(request(), until('whole'));
      expect(text).toContain('content-length: 5');
      expect(text).not.toMatch(/connection: close|transfer-encoding/i);
    });

    it('whose target stated a length is passed on with it while it arrives', async () => {
      const bodyRest = new PassThrough();
      bodyRest.end(' and the rest');
      handle = async () => createAnswer({ bodyRest, bodyBytes: 18 });
      const text = await exchange(request(), until('the rest'));
      expect(text).toContain('content-length: 18');
      expect(text).not.toMatch(/transfer-encoding/i);
    });

    it('closes the connection once the daemon is draining', async () => {
      server.beginDraining(SERVING_MILLISECONDS);
      expect(await exchange(request(), never)).toContain('connection: close');
    });
  });

  describe('an answer that arrives without a length', () => {
    let bodyRest: PassThrough;

    beforeEach(() => {
      bodyRest = new PassThrough();
      handle = async () => createAnswer({ isFramed: false, bodyRest });
    });

    /** A request of a caller that speaks HTTP/1.0. */
    const oldRequest = 'GET /a HTTP/1.0\r\nhost: h\r\nX-Attempt: a-1\r\n\r\n';

    /** Sends a request and tells what has arrived when the connection ends, and whether in a reset. */
    async function watchEnd(bytes: string): Promise<{ text: string; isReset: boolean }> {
      let isReset = false;
      const ended = exchange(bytes, never);
      sockets.at(-1)?.once('error', (error: NodeJS.ErrnoException) => {
        isReset = error.code === 'ECONNRESET';
      });
      return { text: await ended, isReset };
    }

    it('goes out in chunks, and its end leaves the connection open', async () => {
      const answered = exchange(request(), until('0\r\n\r\n'));
      bodyRest.end('rest');
      const text = await answered;
      expect(text).toMatch(/transfer-encoding: chunked/i);
      expect(text).not.toMatch(/connection: close/i);
      expect(text.endsWith('\r\n5\r\nwhole\r\n4\r\nrest\r\n0\r\n\r\n')).toBe(true);
      await systemClock.sleep(50);
      expect(sockets[0]?.readyState).toBe('open');
    });

    it('goes out as it is to a caller that speaks HTTP/1.0, and ends with the connection', async () => {
      const ended = watchEnd(oldRequest);
      bodyRest.end('rest');
      const { text, isReset } = await ended;
      expect(text).toMatch(/connection: close/i);
      expect(text).not.toMatch(/content-length|transfer-encoding/i);
      expect(text.endsWith('\r\n\r\nwholerest')).toBe(true);
      expect(isReset).toBe(false);
    });

    it.each([
      ['HTTP/1.1', request()],
      ['HTTP/1.0', oldRequest],
    ])('does not look whole to a caller that speaks %s when a stop cuts it', async (_, bytes) => {
      const ended = watchEnd(bytes);
      await vi.waitFor(() => expect(sockets[0]?.bytesRead).toBeGreaterThan(0));
      server.closeNow();
      const { text, isReset } = await ended;
      expect(text).toContain('whole');
      expect(text).not.toContain('0\r\n\r\n');
      expect(isReset).toBe(true);
    });
  });

  describe('an answer without a body', () => {
    const bodiless = { bodyStart: Buffer.alloc(0), isFramed: false };
    const headOf = (text: string) => text.slice(0, text.indexOf('\r\n\r\n') + 4);

    it('states the length that its target stated to HEAD', async () => {
      handle = async () => createAnswer({ ...bodiless, isFramed: true, bodyBytes: 600 });
      const text = await exchange(request().replace('POST', 'HEAD'), until('\r\n\r\n'));
      expect(text).toContain('content-length: 600');
    });

    it.each([
      ['to HEAD', 'HEAD', 200],
      ['of status 204', 'POST', 204],
      ['of status 304', 'POST', 304],
    ])('%s, without a length, gets none and keeps the connection', async (_, method, status) => {
      handle = async () => createAnswer({ ...bodiless, status });
      const bytes = request().replace('POST', method);
      const twice = (text: string) => text.split('HTTP/1.1').length === 3 && /\r\n\r\n$/.test(text);
      const text = await exchange(bytes + bytes, twice);
      expect(text).not.toMatch(/content-length|transfer-encoding|connection: close/i);
      expect(text).toBe(headOf(text) + headOf(text));
    });
  });

  describe('a refusal', () => {
    it('of a request that has not run states a retry-after time', async () => {
      handle = async () => ({ kind: 'refused', reason: 'overloaded' });
      const text = await exchange(request(), until('}\n'));
      expect(text).toContain('HTTP/1.1 503');
      expect(text).toMatch(/retry-after: 0\.\d\d/);
    });

    it('of a request that may have run states no retry-after time', async () => {
      handle = async () => ({ kind: 'refused', reason: 'connection-broke' });
      const text = await exchange(request(), until('}\n'));
      expect(text).toContain('HTTP/1.1 502');
      expect(text).not.toContain('retry-after');
    });
  });

  describe('invalid input', () => {
    const conflictingFraming = 'content-length: 4\r\ntransfer-encoding: chunked\r\n';
    const cases: readonly (readonly [string, string, string])[] = [
      ['bytes that are not HTTP', 'rubbish\r\n\r\n', '400'],
      ['conflicting framing', request(conflictingFraming), '400'],
      ['a body over the limit', request('', 'x'.repeat(101)), '413'],
      ['header fields over the limit', request(`X-Long: ${'x'.repeat(1_000)}\r\n`), '431'],
    ];
    cases.forEach(([name, bytes, status]) => {
      it(`${name} gets ${status} and does not reach the handler`, async () => {
        const text = await exchange(bytes, (seen) => seen.includes('\r\n\r\n'));
        expect(text).toContain(`HTTP/1.1 ${status}`);
        expect(exchanges).toHaveLength(0);
      });
    });
  });
});
