import { createSocket } from 'node:dgram';
import { afterEach, describe, expect, it } from 'vitest';
import type { Stop } from '@cactusrun/core';
import { CactusrunError, Counters } from '@cactusrun/core';
import type { MemberMessage } from '@cactusrun/protocol';
import { create, MemberMessageSchema } from '@cactusrun/protocol';
import { openUdpTransport } from '../../MemberTransport.js';

const HERE = '127.0.77.8:18088';
const THERE = '127.0.77.8:18089';

describe('openUdpTransport', () => {
  const stops: Stop[] = [];

  afterEach(async () => {
    await Promise.all(stops.map((stop) => stop()));
    stops.length = 0;
  });

  async function open(address: string, translate = (to: string) => to) {
    const counters = new Counters();
    const transport = await openUdpTransport(address, translate, counters);
    stops.push(transport.stop);
    return { transport, counters };
  }

  it('carries messages, by the address through which a member is reached', async () => {
    const here = await open(HERE, (to) => (to === 'behind-a-link' ? THERE : to));
    const there = await open(THERE);
    const received = new Promise<MemberMessage>((resolve) => {
      there.transport.listen(resolve);
    });
    here.transport.send(
      'behind-a-link',
      create(MemberMessageSchema, { kind: 'ping', sequence: 7 }),
    );
    expect(await received).toMatchObject({ kind: 'ping', sequence: 7 });
    expect(here.counters.valueOf('heartbeat_bytes', 'sent')).toBe(
      there.counters.valueOf('heartbeat_bytes', 'received'),
    );
  });

  it('counts what cannot be read, and goes on', async () => {
    const { transport, counters } = await open(HERE);
    const received = new Promise<MemberMessage>((resolve) => {
      transport.listen(resolve);
    });
    const socket = createSocket('udp4');
    const [ip, port] = HERE.split(':');
    socket.send(Buffer.from([255, 255, 255, 255]), Number(port), ip, () => {
      transport.send(HERE, create(MemberMessageSchema, { kind: 'ping' }));
    });
    await received;
    expect(counters.valueOf('heartbeat_errors', 'unreadable')).toBe(1);
    socket.close();
  });

  it('says which step and address failed', async () => {
    await open(HERE);
    await expect(open(HERE)).rejects.toBeInstanceOf(CactusrunError);
    await expect(open(HERE)).rejects.toMatchObject({ step: 'binding heartbeats', peer: HERE });
  });
});
