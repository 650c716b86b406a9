import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { PassThrough } from 'node:stream';
import { Counters, createRandom, silentLogger, systemClock } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { CallerExchange, CallerOutcome } from '../../callers/CallerExchange.js';
import CallerServer from '../../callers/CallerServer.js';
import type { TargetAnswer } from '../../connections/TargetAttempt.js';
import createTargetAnswer from './createTargetAnswer.js';
import settleConnections from './settleConnections.js';

const HOST = '127.0.8.1';
const PORT = 18_551;
/** Longer than a test takes. */
const SERVING_MILLISECONDS = 60_000;
const LIMITS = {
  headerBytes: 4_000,
  bodyBytes: 4_000_000,
  headerMilliseconds: 3_000,
  idleMilliseconds: 5_000,
};

interface HeldRequest {
  readonly exchange: CallerExchange;
  readonly answer: (change?: Partial<TargetAnswer>) => void;
  readonly refuse: () => void;
}

/** Several requests that are sent on one connection before the first has been answered. */
describe('CallerConnection', () => {
  let server: CallerServer;
  let held: HeldRequest[];
  let socket: Socket;
  let received: string;
  let isEnded: boolean;
  let wasReset: boolean;

  beforeEach(async () => {
    held = [];
    received = '';
    isEnded = false;
    wasReset = false;
    server = new CallerServer({
      isForPeers: false,
      address: `${HOST}:${PORT}`,
      names: { attemptId: 'X-Attempt', deadline: 'X-Deadline', reserved: new Set(['x-attempt']) },
      clock: systemClock,
      random: createRandom(1),
      counters: new Counters(),
      logger: silentLogger,
      limits: () => LIMITS,
      canOverlap: ({ method }) => method === 'GET',
      handle: (exchange) => hold(exchange),
    });
    await server.start();
    socket = await open();
  });

  afterEach(() => {
    socket.destroy();
    server.closeNow();
  });

  function hold(exchange: CallerExchange): Promise<CallerOutcome> {
    exchange.passOn();
    return new Promise((resolve) => {
      const answer = (change: Partial<TargetAnswer> = {}) =>
        resolve({
          kind: 'answered',
          answer: createTargetAnswer({
            fields: [['X-Attempt', exchange.id]],
            bodyStart: Buffer.from(`body of ${exchange.id}.`),
            ...change,
          }),
        });
      exchange.signal.addEventListener('abort', () => resolve({ kind: 'cancelled' }));
      held.push({
        exchange,
        answer,
        refuse: () => resolve({ kind: 'refused', reason: 'timeout' }),
      });
    });
  }

  async function open(): Promise<Socket> {
    const opened = connect({ port: PORT, host: HOST });
    opened.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
    });
    opened.on('end', () => {
      isEnded = true;
    });
    opened.on('error', (error: NodeJS.ErrnoException) => {
      wasReset = error.code === 'ECONNRESET';
    });
    await new Promise<void>((resolve) => {
      opened.once('connect', resolve);
    });
    return opened;
  }

  function get(id: string, more = ''): string {
    return `GET /a HTTP/1.1\r\nhost: h\r\nX-Attempt: ${id}\r\n${more}\r\n`;
  }

  /** A request of a caller that speaks HTTP/1.0, where an answer without a length closes. */
  function getOld(id: string): string {
    return get(id, 'connection: keep-alive\r\n').replace('HTTP/1.1', 'HTTP/1.0');
  }

  function post(id: string, body = 'x'): string {
    const length = `content-length: ${body.length}\r\n`;
    return `POST /a HTTP/1.1\r\nhost: h\r\nX-Attempt: ${id}\r\n${length}\r\n${body}`;
  }

  const startedIds = () => held.map(({ exchange }) => exchange.id);
  const requestOf = (id: string) => held.find(({ exchange }) => exchange.id === id)!;
  const answeredIds = () => [...received.matchAll(/body of (\w+)\./g)].map(([, id]) => id);

  /** Answers without a length, while the body still arrives. */
  function answerUnframed(id: string): void {
    const bodyRest = new PassThrough();
    requestOf(id).answer({ isFramed: false, bodyRest });
    bodyRest.end('rest');
  }

  describe('a request that was read whole', () => {
    it.each([
      ['is too large', 'content-length: 5000000\r\n'],
      ['arrives too late', 'content-length: 5\r\nX-Deadline: 120\r\n'],
    ])('is answered though the body of a later request %s', async (_name, fields) => {
      socket.write(
        `${get('a')}${post('b')}POST /a HTTP/1.1\r\nhost: h\r\nX-Attempt: c\r\n${fields}\r\nx`,
      );
      await systemClock.sleep(200);
      expect(startedIds()).toEqual(['a']);
      requestOf('a').answer();
      await settleConnections();
      held.find(({ exchange }) => exchange.id === 'b')?.answer();
      await systemClock.sleep(1_500);
      expect({ answered: answeredIds(), isEnded, inFlight: server.requestsInFlight }).toEqual({
        answered: ['a', 'b'],
        isEnded: true,
        inFlight: 0,
      });
    });
  });

  describe('idempotent requests', () => {
    it('overlap up to the limit, and are answered in their order', async () => {
      socket.write(['a', 'b', 'c', 'd', 'e', 'f'].map((id) => get(id)).join(''));
      await settleConnections();
      expect(startedIds()).toEqual(['a', 'b', 'c', 'd']);
      requestOf('b').answer();
      requestOf('c').answer();
      await settleConnections();
      expect(answeredIds()).toEqual([]);
      requestOf('a').answer();
      await settleConnections();
      expect(answeredIds()).toEqual(['a', 'b', 'c']);
      expect(startedIds()).toEqual(['a', 'b', 'c', 'd', 'e', 'f']);
    });

    it('are all cancelled at once when the caller disconnects', async () => {
      socket.write(['a', 'b', 'c', 'd', 'e'].map((id) => get(id)).join(''));
      await settleConnections();
      socket.destroy();
      await settleConnections();
      expect(held.every(({ exchange }) => exchange.signal.aborted)).toBe(true);
      expect(startedIds()).not.toContain('e');
      expect(server.requestsInFlight).toBe(0);
    });

    it('stop being read at a limit, and are all answered in the end', async () => {
      const ids = Array.from({ length: 1_000 }, (_, index) => `r${index}`);
      socket.write(ids.map((id) => get(id, `X-Filler: ${'x'.repeat(500)}\r\n`)).join(''));
      await settleConnections();
      // One read of the socket may bring more requests than the limit, but not all of them.
      expect(server.requestsInFlight).toBeLessThan(500);
      const answerAll = async (): Promise<void> => {
        held.forEach(({ answer }) => answer());
        if (answeredIds().length === ids.length) return;
        await systemClock.sleep(5);
        await answerAll();
      };
      await answerAll();
      expect(answeredIds()).toEqual(ids);
      expect(server.requestsInFlight).toBe(0);
    }, 20_000);
  });

  describe('a request that must run once', () => {
    it('starts only after the answers before it have been written', async () => {
      socket.write(get('a') + post('b') + get('c'));
      await settleConnections();
      expect(startedIds()).toEqual(['a']);
      requestOf('a').answer();
      await settleConnections();
      expect(startedIds()).toEqual(['a', 'b']);
      requestOf('b').answer();
      await settleConnections();
      expect(startedIds()).toEqual(['a', 'b', 'c']);
    });

    it('is never executed behind an answer that closes the connection', async () => {
      socket.write(getOld('a') + post('b'));
      await settleConnections();
      answerUnframed('a');
      await settleConnections();
      expect(startedIds()).toEqual(['a']);
      expect(isEnded).toBe(true);
      expect(server.requestsInFlight).toBe(0);
    });

    it('is never executed behind a request that asks to close the connection', async () => {
      socket.write(get('a', 'connection: close\r\n') + post('b'));
      await settleConnections();
      requestOf('a').answer();
      await settleConnections();
      expect(startedIds()).toEqual(['a']);
      expect(answeredIds()).toEqual(['a']);
    });
  });

  describe('an answer without a length', () => {
    it('leaves the requests behind it their answers, also one that must run once', async () => {
      socket.write(get('a') + get('b') + post('c'));
      await settleConnections();
      requestOf('b').answer();
      answerUnframed('a');
      await settleConnections();
      requestOf('c').answer();
      await settleConnections();
      expect(answeredIds()).toEqual(['a', 'b', 'c']);
      expect(received).not.toMatch(/connection: close/i);
      expect(isEnded).toBe(false);
    });
  });

  describe('an answer that closes the connection', () => {
    it('cancels the requests behind it, and none is counted as in flight', async () => {
      socket.write(getOld('a') + get('b') + get('c'));
      await settleConnections();
      answerUnframed('a');
      await settleConnections();
      expect(answeredIds()).toEqual(['a']);
      expect(requestOf('b').exchange.signal.aborted).toBe(true);
      expect(server.requestsInFlight).toBe(0);
    });

    it('is the one to the last request that was read whole, while draining', async () => {
      socket.write(`${get('a') + get('b') + post('c')}${post('d').slice(0, -1)}`);
      await settleConnections();
      server.beginDraining(SERVING_MILLISECONDS);
      requestOf('b').answer();
      requestOf('a').answer();
      await settleConnections();
      expect(answeredIds()).toEqual(['a', 'b']);
      expect(startedIds()).toEqual(['a', 'b', 'c']);
      expect(isEnded).toBe(false);
      requestOf('c').answer();
      await settleConnections();
      expect(answeredIds()).toEqual(['a', 'b', 'c']);
      expect(received.match(/connection: close/g)).toHaveLength(1);
      expect(received.indexOf('connection: close')).toBeGreaterThan(received.indexOf('body of b'));
      expect(startedIds()).toEqual(['a', 'b', 'c']);
      expect(isEnded).toBe(true);
    });
  });

  describe('malformed bytes behind a request', () => {
    it('get no response that could be taken for the answer to that request', async () => {
      socket.write(`${get('a')}rubbish\r\n\r\n`);
      await settleConnections();
      expect(received).toBe('');
      requestOf('a').answer();
      await settleConnections();
      expect(received.startsWith('HTTP/1.1 200')).toBe(true);
      expect(answeredIds()).toEqual(['a']);
      expect(isEnded).toBe(true);
    });
  });

  describe('a large answer that breaks off', () => {
    it('resets the connection, so that it does not look whole without a length', async () => {
      const bodyRest = new PassThrough();
      socket.write(get('a'));
      await settleConnections();
      requestOf('a').answer({ isFramed: false, bodyRest });
      bodyRest.write('more');
      await settleConnections();
      bodyRest.destroy(new Error('reset by the target'));
      await settleConnections();
      expect(received).toContain('more');
      expect(wasReset).toBe(true);
      expect(isEnded).toBe(false);
    });

    it('becomes a refusal while the answer before it is not written yet', async () => {
      const bodyRest = new PassThrough();
      socket.write(get('a') + get('b'));
      await settleConnections();
      requestOf('b').answer({ bodyRest });
      await settleConnections();
      bodyRest.destroy(new Error('reset by the target'));
      requestOf('a').answer();
      await settleConnections();
      expect(answeredIds()).toEqual(['a']);
      expect(received).toContain('HTTP/1.1 502');
    });
  });

  describe('a graceful shutdown', () => {
    it('waits until a caller that reads slowly has the whole answer', async () => {
      const bodyStart = Buffer.alloc(16_000_000, 'x');
      socket.write(post('a'));
      await settleConnections();
      socket.pause();
      requestOf('a').answer({ bodyStart });
      await settleConnections();
      const drained = server.finishDraining();
      socket.resume();
      await drained;
      await settleConnections();
      const bodyAt = received.indexOf('\r\n\r\n') + 4;
      expect(received.length - bodyAt).toBe(bodyStart.length);
    });

    it('ends when requests behind a closing answer were dropped', async () => {
      socket.write(getOld('a') + get('b') + post('c'));
      await settleConnections();
      answerUnframed('a');
      await settleConnections();
      await server.finishDraining();
      expect(server.requestsInFlight).toBe(0);
    });

    it('refuses requests that arrive on open connections until the last one has ended', async () => {
      socket.write(get('a'));
      await settleConnections();
      server.beginDraining(SERVING_MILLISECONDS);
      const drained = server.finishDraining();
      socket.write(get('b'));
      await settleConnections();
      requestOf('a').answer();
      await drained;
      await settleConnections();
      expect(startedIds()).toEqual(['a']);
      expect(answeredIds()).toEqual(['a']);
      expect(received.indexOf('HTTP/1.1 503')).toBeGreaterThan(received.indexOf('body of a'));
      expect(received).toContain('"reason":"stopping"');
      expect(isEnded).toBe(true);
    });
  });
});
