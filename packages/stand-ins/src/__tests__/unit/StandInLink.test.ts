import { createHash } from 'node:crypto';
import type { Server } from 'node:net';
import { createConnection, createServer } from 'node:net';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Clock, Stop } from '@cactusrun/core';
import { createRandom, systemClock } from '@cactusrun/core';
import LinkPipe from '../../LinkPipe.js';
import StandInLink from '../../StandInLink.js';

const LINK_ADDRESS = '127.0.77.2:18081';
const FAR_ADDRESS = '127.0.77.3:18081';
const BYTES = 3_000_000;
const random = createRandom(3);

/** Timers that fire a little early or late, as those of a busy process do. */
const unevenClock: Clock = {
  ...systemClock,
  after: (milliseconds, callback) =>
    systemClock.after(milliseconds + random.below(6) - 3, callback),
};

describe('StandInLink', () => {
  let far: Server;
  let stop: Stop;
  let received = '';
  let ended: Promise<void>;

  beforeAll(async () => {
    const [host, port] = FAR_ADDRESS.split(':');
    ended = new Promise((resolve) => {
      far = createServer((socket) => {
        const hash = createHash('sha256');
        let bytes = 0;
        socket.on('data', (chunk) => {
          hash.update(chunk);
          bytes += chunk.length;
          if (bytes < BYTES) return;
          received = hash.digest('hex');
          resolve();
        });
      });
    });
    await new Promise<void>((resolve) => {
      far.listen(Number(port), host, resolve);
    });
    const link = new StandInLink({
      address: LINK_ADDRESS,
      farAddress: FAR_ADDRESS,
      delayMilliseconds: 5,
      clock: unevenClock,
      pipes: {
        forward: new LinkPipe(100_000_000, systemClock),
        backward: new LinkPipe(100_000_000, systemClock),
      },
    });
    stop = await link.start();
  });

  afterAll(async () => {
    await stop();
    far.close();
  });

  it('passes bytes on whole and in order, whatever their chunks', async () => {
    const body = Buffer.from(Array.from({ length: BYTES }, () => random.below(256)));
    const [host, port] = LINK_ADDRESS.split(':');
    const socket = createConnection({ host: host!, port: Number(port) });
    let offset = 0;
    while (offset < BYTES) {
      const size = 1 + random.below(40_000);
      socket.write(body.subarray(offset, offset + size));
      offset += size;
    }
    await ended;
    socket.destroy();
    expect(received).toBe(createHash('sha256').update(body).digest('hex'));
  });
});
