import { createHash } from 'node:crypto';
import type { Server, Socket } from 'node:net';
import { createConnection, createServer } from 'node:net';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { Clock, Stop } from '@cactusrun/core';
import { createRandom, systemClock } from '@cactusrun/core';
import LinkPipe from '../../LinkPipe.js';
import StandInLink from '../../StandInLink.js';

const LINK_ADDRESS = '127.0.77.2:18081';
const FAR_ADDRESS = '127.0.77.3:18081';
const BODY_BYTES = 3_000_000;
const random = createRandom(3);

/** Timers that fire a few milliseconds early or late, as in a busy process. */
const jitteryClock: Clock = {
  ...systemClock,
  after: (milliseconds, callback) =>
    systemClock.after(milliseconds + random.below(6) - 3, callback),
};

describe('StandInLink', () => {
  let farServer: Server;
  let stop: Stop;
  let receivedDigest = '';
  let allReceived: Promise<void>;

  beforeAll(async () => {
    const [host, port] = FAR_ADDRESS.split(':');
    allReceived = new Promise((resolve) => {
      farServer = createServer((socket) => {
        const hash = createHash('sha256');
        let bytes = 0;
        socket.on('data', (chunk) => {
          hash.update(chunk);
          bytes += chunk.length;
          if (bytes < BODY_BYTES) return;
          receivedDigest = hash.digest('hex');
          resolve();
        });
      });
    });
    await new Promise<void>((resolve) => {
      farServer.listen(Number(port), host, resolve);
    });
    const link = new StandInLink({
      address: LINK_ADDRESS,
      farAddress: FAR_ADDRESS,
      delayMilliseconds: 5,
      clock: jitteryClock,
      pipes: {
        forward: new LinkPipe(100_000_000, systemClock),
        backward: new LinkPipe(100_000_000, systemClock),
      },
    });
    stop = await link.start();
  });

  afterAll(async () => {
    await stop();
    farServer.close();
  });

  it('relays all bytes in order, whatever the sizes of the chunks', async () => {
    const body = Buffer.from(Array.from({ length: BODY_BYTES }, () => random.below(256)));
    const [host, port] = LINK_ADDRESS.split(':');
    const socket = createConnection({ host: host!, port: Number(port) });
    let offset = 0;
    while (offset < BODY_BYTES) {
      const size = 1 + random.below(40_000);
      socket.write(body.subarray(offset, offset + size));
      offset += size;
    }
    await allReceived;
    socket.destroy();
    expect(receivedDigest).toBe(createHash('sha256').update(body).digest('hex'));
  });
});

describe('The end of a connection through a StandInLink', () => {
  const address = '127.0.77.14:18083';
  const farAddress = '127.0.77.15:18083';
  const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
    ended: (socket) => socket.end('last bytes'),
    reset: (socket) => {
      socket.write('last bytes');
      socket.resetAndDestroy();
    },
  };
  let farServer: Server;
  let stop: Stop;
  let end: (socket: Socket) => void;

  beforeAll(async () => {
    const [host, port] = farAddress.split(':');
    farServer = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => end(socket));
    });
    await new Promise<void>((resolve) => {
      farServer.listen(Number(port), host, resolve);
    });
    stop = await new StandInLink({
      address,
      farAddress,
      delayMilliseconds: 5,
      clock: systemClock,
    }).start();
  });

  afterAll(async () => {
    await stop();
    farServer.close();
  });

  it.each(Object.keys(ENDINGS))('is seen as it was at the far end: %s', async (name) => {
    end = ENDINGS[name]!;
    const [host, port] = address.split(':');
    const socket = createConnection({ host: host!, port: Number(port) });
    const ending = await new Promise((resolve) => {
      socket.prependOnceListener('end', () =>
        resolve(socket.remoteAddress === undefined ? 'reset' : 'ended'),
      );
      socket.on('error', () => resolve('reset'));
      socket.resume();
      socket.write('first bytes');
    });
    socket.destroy();
    expect(ending).toBe(name);
  });
});
