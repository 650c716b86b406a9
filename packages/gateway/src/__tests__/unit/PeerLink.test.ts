import { createSocket } from 'node:dgram';
import type { Stop } from '@cactusrun/core';
import { Counters, silentLogger } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { encodePeerMessage } from '../../fleet/PeerCodec.js';
import PeerLink from '../../fleet/PeerLink.js';
import type { PeerMessage } from '../../fleet/PeerMessage.js';

const HOST = '127.0.7.22';
const ADDRESS = `${HOST}:17570`;
const PORT = 17_570;
const CRASH: PeerMessage = { kind: 'crash', sender: 'n', fingerprint: 'f', crashes: 1 };

/** Resolves once the condition holds. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    // eslint-disable-next-line no-await-in-loop
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

describe('PeerLink', () => {
  let counters: Counters;
  let received: PeerMessage[];
  let handle: (message: PeerMessage) => void;
  let link: PeerLink;
  let stop: Stop;

  beforeEach(async () => {
    counters = new Counters();
    received = [];
    handle = (message) => received.push(message);
    link = new PeerLink(ADDRESS, counters, silentLogger, (message) => handle(message));
    stop = await link.start();
  });

  afterEach(() => stop());

  function sendBytes(bytes: Buffer): void {
    const socket = createSocket('udp4');
    socket.send(bytes, PORT, HOST, () => socket.close());
  }

  // Addresses come from peers and from the store's list; an exception here ends the process.
  it('sends nothing to what is no address, and still to the others', async () => {
    const odd = [`${HOST}:0`, `${HOST}:65536`, `${HOST}:99999`, HOST, '', 'x', 'host:1'];
    expect(link.send([...odd, ADDRESS], CRASH)).toBe(true);
    await until(() => received.length > 0);
    expect(received).toEqual([CRASH]);
    expect(counters.valueOf('datagrams', 'no-address')).toBe(odd.length);
  });

  it('sends nothing and throws nothing once it was stopped: a report may be due later', async () => {
    await stop();
    expect(() => link.send([ADDRESS], CRASH)).not.toThrow();
    await stop();
    expect(received).toEqual([]);
  });

  it('counts datagrams of another shape and goes on', async () => {
    const shapes = ['', 'x', 'null', '["beat"]', '["calls","n",[null]]', '{"kind":"hello"}'];
    shapes.forEach((text) => sendBytes(Buffer.from(text)));
    await until(() => counters.valueOf('datagrams', 'not-understood') === shapes.length);
    sendBytes(encodePeerMessage(CRASH));
    await until(() => received.length > 0);
    expect(received).toEqual([CRASH]);
  });

  it('counts a message whose handling fails and goes on', async () => {
    handle = () => {
      throw new Error('unexpected');
    };
    sendBytes(encodePeerMessage(CRASH));
    await until(() => counters.valueOf('datagrams', 'not-handled') === 1);
    handle = (message) => received.push(message);
    sendBytes(encodePeerMessage(CRASH));
    await until(() => received.length > 0);
  });
});
