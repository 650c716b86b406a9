import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { systemClock } from '@cactusrun/core';
import type { TargetResult } from '@cactusrun/requests';
import { ScriptedTarget } from '@cactusrun/stand-ins';
import HttpTargetConnector from '../../HttpTargetConnector.js';
import { isWhole, sendToTarget } from './exchangeWithTarget.js';

const HOST = '127.0.77.11';
const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;

/** The part of an answer that is written before the connection ends. */
const TRUNCATED: Readonly<Record<string, string>> = {
  'before a byte': '',
  'in the status line': 'HTTP/1.1 20',
  'in the head': `${OK}Content-Length: 5\r\nX-Mo`,
  'after an informational answer': 'HTTP/1.1 102 Processing\r\n\r\n',
  'before the body': `${OK}Content-Length: 5\r\n\r\n`,
  'in a body with a length': `${OK}Content-Length: 5\r\n\r\nsha`,
  'in a body without a length': `${OK}\r\nsha`,
  'in a body without a length, of HTTP/1.0': 'HTTP/1.0 200 OK\r\n\r\nsha',
  'in a body of another coding': `${OK}Transfer-Encoding: gzip\r\n\r\nsha`,
  'before the first chunk': CHUNKED,
  'in the size of a chunk': `${CHUNKED}5`,
  'in a chunk': `${CHUNKED}5\r\nsha`,
  'between chunks': `${CHUNKED}3\r\nsha\r\n`,
  'in the last chunk': `${CHUNKED}3\r\nsha\r\n0`,
  'in the trailer': `${CHUNKED}3\r\nsha\r\n0\r\nX-Su`,
};

const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  'with FIN': (socket) => socket.end(),
  'with a reset': (socket) => socket.resetAndDestroy(),
};

// A process that crashes closes its connections; what it wrote so far is no answer.
describe('HttpTargetConnector and answers that break off', () => {
  let server: ScriptedTarget;
  let connector: HttpTargetConnector;

  beforeEach(async () => {
    connector = new HttpTargetConnector(systemClock, () => 4);
    server = new ScriptedTarget();
    await server.start(HOST);
  });

  afterEach(async () => {
    connector.close();
    await server.stop();
  });

  function send(method?: string): Promise<TargetResult> {
    return sendToTarget(connector, server.address, AbortSignal.timeout(2_000), method);
  }

  Object.entries(TRUNCATED).forEach(([place, text]) => {
    Object.entries(ENDS).forEach(([way, end]) => {
      it(`${place}, ${way}, are not whole`, async () => {
        server.follow((socket) => {
          if (text === '') end(socket);
          else socket.write(text, () => end(socket));
        });
        expect(await isWhole(await send())).toBe(false);
      });

      it(`${place}, ${way} a moment later, are not whole`, async () => {
        server.follow((socket) => {
          if (text !== '') socket.write(text);
          setTimeout(() => end(socket), 20);
        });
        expect(await isWhole(await send())).toBe(false);
      });
    });
  });

  describe('are not confused with whole ones', () => {
    const whole: Readonly<Record<string, readonly [method: string, text: string]>> = {
      'with a length': ['GET', `${OK}Content-Length: 3\r\n\r\nsha`],
      'in chunks': ['GET', `${CHUNKED}3\r\nsha\r\n0\r\n\r\n`],
      'to HEAD, without a length': ['HEAD', `${OK}\r\n`],
      'with status 204': ['GET', 'HTTP/1.1 204 No Content\r\n\r\n'],
      'with status 304': ['GET', 'HTTP/1.1 304 Not Modified\r\n\r\n'],
      'with no body': ['GET', `${OK}Content-Length: 0\r\n\r\n`],
      'of HTTP/1.0 with a length': ['GET', 'HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nsha'],
    };
    Object.entries(whole).forEach(([name, [method, text]]) => {
      it(name, async () => {
        server.follow((socket) => socket.end(text));
        expect(await isWhole(await send(method))).toBe(true);
      });
    });

    it('refusals without a length, which need no body', async () => {
      server.follow((socket) => socket.end('HTTP/1.1 503 No\r\nUpstream-State: shed\r\n\r\n'));
      expect(await send()).toEqual({ kind: 'shed', isLeaving: false });
    });
  });
});
