import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { systemClock } from '@cactusrun/core';
import type { TargetResult } from '@cactusrun/requests';
import { ENDLESS_WRITERS, ScriptedTarget } from '@cactusrun/stand-ins';
import HttpTargetConnector from '../../HttpTargetConnector.js';
import { isWhole, sendToTarget } from './exchangeWithTarget.js';

const HOST = '127.0.77.7';
const CHUNK = 'x'.repeat(65_536);
/** Time for bytes to arrive before the request is aborted at its deadline. */
const ARRIVAL_MILLISECONDS = 120;

/** What is sent before the bytes without end, and the bytes themselves. */
const ENDLESS: Readonly<Record<string, readonly [string, string]>> = {
  'in the status line': ['HTTP/1.1 200 ', 'x'],
  'that are not HTTP': ['', 'rubbish '],
  'in the head': ['HTTP/1.1 200 OK\r\n', 'X-More: y\r\n'],
  'as informational answers': ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
  'in a body with a length': ['HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n', CHUNK],
  'in a body without a length': ['HTTP/1.1 200 OK\r\n\r\n', CHUNK],
  'in chunks': ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', `10000\r\n${CHUNK}\r\n`],
  'between chunks': ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n', 'zz'],
  'in the trailer': ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', 'X: y\r\n'],
};

/** A target in trouble may send bytes that are no answer, or an answer without end. */
describe('HttpTargetConnector and answers without end', () => {
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

  function send(signal: AbortSignal): Promise<TargetResult> {
    return sendToTarget(connector, server.address, signal);
  }

  Object.entries(ENDLESS).forEach(([place, [prefix, text]]) => {
    Object.entries(ENDLESS_WRITERS).forEach(([pace, write]) => {
      it(`${place}, ${pace}, end when the request is aborted and are no whole answer`, async () => {
        server.follow((socket) => {
          socket.write(prefix);
          write(socket, text);
        });
        const controller = new AbortController();
        const ending = send(controller.signal).then(isWhole);
        await systemClock.sleep(ARRIVAL_MILLISECONDS);
        controller.abort();
        expect(await ending).toBe(false);
        await systemClock.sleep(30);
        expect(server.sockets[0]?.destroyed).toBe(true);
      });
    });
  });

  it('behind a refusal leave the request not run and close the connection', async () => {
    server.follow((socket) => {
      socket.write('HTTP/1.1 503 No\r\nUpstream-State: shed\r\n\r\n');
      ENDLESS_WRITERS['at full speed'](socket, CHUNK);
    });
    const result = await send(new AbortController().signal);
    expect(result).toEqual({ kind: 'shed', isLeaving: false });
    await systemClock.sleep(200);
    expect(server.sockets[0]?.destroyed).toBe(true);
  });
});
