import { createConnection } from 'node:net';
import { PassThrough, Readable } from 'node:stream';
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import type { Stop } from '@cactusrun/core';
import { Counters, createRandom, systemClock } from '@cactusrun/core';
import type { CallerAnswer, CallerRequest } from '../../CallerRequest.js';
import type CallerDirectory from '../../CallerDirectory.js';
import EntryServer from '../../EntryServer.js';
import StopGate from '../../StopGate.js';

const ADDRESS = '127.0.77.1:18080';
const HEADER_BYTES = 8 * 1024;
const BODY_BYTES = 1024 * 1024;

interface Received {
  readonly text: string;
  readonly isReset: boolean;
}

/** Writes raw bytes and reads until the server ends the connection or the text has arrived. */
function exchangeToEnd(bytes: string, until?: string): Promise<Received> {
  const [host, port] = ADDRESS.split(':');
  return new Promise((resolve) => {
    const socket = createConnection({ host: host!, port: Number(port) });
    let text = '';
    let isReset = false;
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (until !== undefined && text.includes(until)) socket.destroy();
    });
    socket.on('error', () => {
      isReset = true;
    });
    socket.on('close', () => resolve({ text, isReset }));
    socket.write(bytes, 'latin1');
  });
}

async function exchange(bytes: string, until?: string): Promise<string> {
  return (await exchangeToEnd(bytes, until)).text;
}

describe('EntryServer', () => {
  const counters = new Counters();
  let seen: CallerRequest[] = [];
  let answer: (request: CallerRequest) => Promise<CallerAnswer>;
  let stop: Stop;
  let mayHaveRun = false;

  beforeAll(async () => {
    const server = new EntryServer({
      address: ADDRESS,
      zone: 'west-a',
      headerBytes: HEADER_BYTES,
      bodyBytes: BODY_BYTES,
      clock: systemClock,
      counters,
      directory: {} as CallerDirectory,
      gate: new StopGate(systemClock),
      handle: (request) => {
        seen.push(request);
        return answer(request);
      },
      issueTicket: () => 'fresh',
      mayHaveRun: () => mayHaveRun,
    });
    stop = await server.start();
  });

  afterAll(() => stop());

  beforeEach(() => {
    seen = [];
    mayHaveRun = false;
    answer = async (request) => ({
      kind: 'answered',
      status: 200,
      headers: [['content-type', 'text/plain']],
      body: Readable.from([request.body.head]),
    });
  });

  describe('malformed requests', () => {
    const cases: readonly (readonly [string, string, string])[] = [
      [
        'two lengths',
        'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
        '400',
      ],
      [
        'length and chunks',
        'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        '400',
      ],
      [
        'an unknown transfer coding',
        'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\nabc',
        '400',
      ],
      [
        'chunked not last',
        'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n',
        '400',
      ],
      [
        'a bad chunk size',
        'POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        '',
      ],
      [
        'a head over the limit',
        `GET /a HTTP/1.1\r\nHost: x\r\nX: ${'y'.repeat(HEADER_BYTES)}\r\n\r\n`,
        '431',
      ],
      ['no method', '/a HTTP/1.1\r\nHost: x\r\n\r\n', '400'],
      ['another protocol', 'SSH-2.0-OpenSSH\r\n\r\n', '400'],
      ['a line feed in a field', 'GET /a HTTP/1.1\r\nHost: x\r\nA: b\r\n c\x00d\r\n\r\n', '400'],
      ['no host', 'GET /a HTTP/1.1\r\n\r\n', '400'],
      [
        'a body over the limit',
        `POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: ${BODY_BYTES + 1}\r\n\r\nabc`,
        '413',
      ],
    ];

    it.each(cases)('are rejected before reaching the handler: %s', async (_, bytes, status) => {
      const text = await exchange(bytes);
      expect(text.startsWith(status === '' ? '' : `HTTP/1.1 ${status}`)).toBe(true);
      expect(text).not.toContain('HTTP/1.1 200');
      expect(seen).toEqual([]);
    });

    it('are counted', () => {
      const counted = counters.readings().filter(({ name }) => name === 'malformed_requests');
      expect(counted.reduce((sum, { value }) => sum + value, 0)).toBeGreaterThanOrEqual(8);
    });

    it('cannot smuggle in a second request', async () => {
      const smuggled = 'GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n';
      await exchange(
        `POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${smuggled}`,
      );
      expect(seen).toEqual([]);
    });
  });

  describe('a request that was not read completely', () => {
    it('has an unknown outcome if an earlier one with its ticket may have run', async () => {
      mayHaveRun = true;
      const text = await exchange(
        `POST /a HTTP/1.1\r\nHost: x\r\nCactusrun-Ticket: t\r\nContent-Length: ${BODY_BYTES + 1}\r\n\r\nabc`,
      );
      expect(text.toLowerCase()).toContain('cactusrun-outcome: unknown');
      expect(text).toContain('request-incomplete');
    });
  });

  describe('a refused request with a long body', () => {
    it('may be aborted by its caller without affecting later requests', async () => {
      answer = async () => ({ kind: 'refused', reason: 'queue-full', detail: '' });
      const body = 'x'.repeat(100_000);
      const text = await exchange(
        `POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n${body}`,
        'queue-full',
      );
      expect(text.startsWith('HTTP/1.1 503')).toBe(true);
      await exchange('GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n');
      expect(seen).toHaveLength(2);
    });
  });

  describe('answers', () => {
    it('are forwarded completely, with a new ticket', async () => {
      const text = await exchange(
        'POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 5\r\n\r\nshade',
      );
      expect(text.startsWith('HTTP/1.1 200')).toBe(true);
      expect(text.toLowerCase()).toContain('cactusrun-ticket: fresh');
      expect(text).toContain('shade');
    });

    it('reset the connection when truncated, so that they do not look complete', async () => {
      answer = async () => {
        const body = new PassThrough();
        body.write('half');
        setImmediate(() => setImmediate(() => body.destroy(new Error('cut'))));
        return { kind: 'answered', status: 200, headers: [], body };
      };
      const text = await exchange('GET /a HTTP/1.1\r\nHost: x\r\n\r\n');
      expect(text).not.toMatch(/\r\n0\r\n\r\n$/);
    });

    it('reset the connection of an HTTP/1.0 caller, to whom its end would look whole', async () => {
      answer = async () => {
        const body = new PassThrough();
        body.write('half');
        setTimeout(() => body.destroy(new Error('cut')), 20);
        return { kind: 'answered', status: 200, headers: [], body };
      };
      const { text, isReset } = await exchangeToEnd('GET /a HTTP/1.0\r\nHost: x\r\n\r\n');
      expect(text).toContain('half');
      expect(isReset).toBe(true);
    });

    it('omit hop-by-hop and cactusrun- header fields', async () => {
      answer = async () => ({
        kind: 'answered',
        status: 200,
        headers: [
          ['Connection', 'x-hop'],
          ['X-Hop', '1'],
          ['Cactusrun-Outcome', 'forged'],
          ['X-Kept', 'yes'],
        ],
        body: Readable.from(['x']),
      });
      const text = await exchange('GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n');
      expect(text.toLowerCase()).not.toContain('x-hop');
      expect(text).not.toContain('forged');
      expect(text).toContain('X-Kept: yes'.toLowerCase());
    });
  });

  describe('concurrent callers', () => {
    it('each receive their own answer, in any order and despite truncated answers', async () => {
      const random = createRandom(41);
      answer = async (request) => {
        const turns = random.below(4);
        await Array.from({ length: turns }).reduce<Promise<void>>(
          (before) =>
            before.then(
              () =>
                new Promise((resolve) => {
                  setImmediate(resolve);
                }),
            ),
          Promise.resolve(),
        );
        const body = new PassThrough();
        const isCut = random.unit() < 0.2;
        body.write(`<${request.path}`);
        setImmediate(() => (isCut ? body.destroy(new Error('cut')) : body.end('>')));
        return { kind: 'answered', status: 200, headers: [], body };
      };
      const texts = await Promise.all(
        Array.from({ length: 300 }, async (_, index) => {
          const text = await exchange(
            `GET /n${index} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n`,
          );
          return { index, text };
        }),
      );
      const mixed = texts.filter(({ index, text }) => {
        const found = text.match(/<\/n(\d+)/g) ?? [];
        return found.some((part) => part !== `</n${index}`);
      });
      expect(mixed).toEqual([]);
      expect(texts.filter(({ text }) => text.includes('>')).length).toBeGreaterThan(150);
    });
  });
});
