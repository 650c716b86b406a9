/**
 * Guards against an answer without a length that its target resets while the caller does not read:
 * the connection is paused then, and Node reports its reset as an ordinary end once reading goes on.
 */
import { Counters, systemClock } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import IdleReuse from '../../connections/IdleReuse.js';
import { openConnection } from '../../connections/openConnection.js';
import TargetConnections from '../../connections/TargetConnections.js';
import createTargetEntry from './createTargetEntry.js';
import NAMES from './targetFieldNames.js';

const HOST = '127.0.0.1';
const BODY_BYTES = 13_000_000;
const CUT_MILLISECONDS = 60;
const READ_MILLISECONDS = 200;

describe('a large answer without a length', () => {
  let server: Server;

  let connections: TargetConnections;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', (data) => {
        const attempt = /X-Attempt: (\S+)/.exec(data.toString())?.[1];
        socket.write(`HTTP/1.1 200 OK\r\nX-Attempt: ${attempt}\r\nX-Signature: s\r\n\r\n`);
        socket.write('x'.repeat(BODY_BYTES));
        setTimeout(() => socket.resetAndDestroy(), CUT_MILLISECONDS);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, HOST, resolve);
    });
    const idleReuse = new IdleReuse(systemClock);
    const counters = new Counters();
    connections = new TargetConnections(NAMES, idleReuse, systemClock, counters, openConnection);
  });

  afterEach(() => {
    connections.close();
    server.close();
  });

  it('is not passed on as whole when it is reset while its caller does not read', async () => {
    const { port } = server.address() as AddressInfo;
    const result = await connections.send(
      createTargetEntry('target-1', { address: `${HOST}:${port}` }),
      {
        id: 'attempt-1',
        method: 'GET',
        path: '/p',
        fields: [['host', 'h']],
        body: Buffer.alloc(0),
        kind: 'repeatable',
        isRetry: false,
        needsNewConnection: false,
        deadline: systemClock.now() + 5_000,
      },
      new AbortController().signal,
    );
    const bodyRest = result.kind === 'answered' ? result.answer.bodyRest : undefined;
    bodyRest!.on('error', () => {});
    const closed = new Promise((resolve) => {
      bodyRest!.on('close', resolve);
    });
    await systemClock.sleep(READ_MILLISECONDS);
    bodyRest!.resume();
    await closed;
    expect(bodyRest!.readableEnded).toBe(false);
  });
});
