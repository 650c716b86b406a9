/**
 * Guards against a reset that is taken for the end of a stream: when the last bytes and the reset are
 * read together, Node reports the end. What tells them apart is taken away in turn: one suffices.
 */
import type { Socket } from 'node:net';
import { once } from 'node:events';
import { systemClock } from '@cactusrun/core';
import { ScriptedTarget } from '@cactusrun/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { openConnection } from '../../connections/openConnection.js';
import watchForOrderlyEnd from '../../connections/watchForOrderlyEnd.js';

const PAUSE_MILLISECONDS = 30;

/** What may keep one of the two signs of a reset from showing. */
const CONDITIONS: Readonly<Record<string, (socket: Socket) => void>> = {
  'when nothing has touched the connection': () => {},
  'when the remote address was read before, which Node keeps': (socket) => {
    expect(socket.remoteAddress).toBeDefined();
  },
  'when writes tell nothing': (socket) => {
    Object.assign(socket, { write: () => true });
  },
};
const POLL = { interval: 1, timeout: 10_000 };

describe('watchForOrderlyEnd', () => {
  let server: ScriptedTarget;

  let socket: Socket;

  beforeEach(async () => {
    server = new ScriptedTarget();
    await server.start('127.0.0.1');
    const [host, port] = server.address.split(':');
    socket = openConnection(host!, Number(port));
    await once(socket, 'connect');
    await expect.poll(() => server.sockets.length, POLL).toBe(1);
  });

  afterEach(async () => {
    socket.destroy();
    await server.stop();
  });

  /** Waits for the close of the connection, also after a reset that Node reports as an error. */
  function waitUntilClosed(): Promise<void> {
    socket.on('error', () => {});
    return new Promise((resolve) => {
      socket.once('close', () => resolve());
    });
  }

  /** Lets bytes and the end of the connection arrive together, and reads them afterwards. */
  async function readAfter(end: (peer: Socket) => void): Promise<boolean> {
    const hasEndedOrderly = watchForOrderlyEnd(socket);
    const closed = waitUntilClosed();
    end(server.sockets[0]!);
    await systemClock.sleep(PAUSE_MILLISECONDS);
    socket.resume();
    await closed;
    return hasEndedOrderly();
  }

  Object.entries(CONDITIONS).forEach(([condition, prepare]) => {
    describe(condition, () => {
      beforeEach(() => prepare(socket));

      it('tells an orderly end', async () => {
        expect(await readAfter((peer) => peer.end('bytes'))).toBe(true);
      });

      it.each([1, 1_000, 65_536, 65_537, 100_000])(
        'tells a reset that arrives together with the last %d bytes',
        async (length) => {
          const end = (peer: Socket) => {
            peer.write('x'.repeat(length));
            peer.resetAndDestroy();
          };
          expect(await readAfter(end)).toBe(false);
        },
      );

      it('tells a reset without bytes', async () => {
        const hasEndedOrderly = watchForOrderlyEnd(socket);
        const closed = waitUntilClosed();
        server.sockets[0]!.resetAndDestroy();
        socket.resume();
        await closed;
        expect(hasEndedOrderly()).toBe(false);
      });
    });
  });

  it('tells that a connection is open', () => {
    expect(watchForOrderlyEnd(socket)()).toBe(false);
  });

  it('tells a reset after an orderly end that was read as an orderly end', async () => {
    const hasEndedOrderly = watchForOrderlyEnd(socket);
    const ended = once(socket, 'end');
    server.sockets[0]!.end('bytes');
    socket.resume();
    await ended;
    server.sockets[0]!.destroy();
    expect(hasEndedOrderly()).toBe(true);
  });
});
