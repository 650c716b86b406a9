import { createSocket } from 'node:dgram';
import { afterEach, describe, expect, it } from 'vitest';
import type { Stop } from '@cactusrun/core';
import { CactusrunError, Counters } from '@cactusrun/core';
import type { MemberMessage } from '@cactusrun/protocol';
import { create, MemberMessageSchema } from '@cactusrun/protocol';
import { openUdpTransport } from '../../MemberTransport.js';

const LOCAL_ADDRESS = '127.0.77.8:18088';
const REMOTE_ADDRESS = '127.0.77.8:18089';

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

  it('delivers messages to the translated address of a member', async () => {
    const local = await open(LOCAL_ADDRESS, (to) => (to === 'behind-a-link' ? REMOTE_ADDRESS : to));
    const remote = await open(REMOTE_ADDRESS);
    const received = new Promise<MemberMessage>((resolve) => {
      remote.transport.listen(resolve);
    });
    local.transport.send(
      'behind-a-link',
      create(MemberMessageSchema, { kind: 'ping', sequence: 7 }),
    );
    expect(await received).toMatchObject({ kind: 'ping', sequence: 7 });
    expect(local.counters.valueOf('heartbeat_bytes', 'sent')).toBe(
      remote.counters.valueOf('heartbeat_bytes', 'received'),
    );
  });

  // Addresses come from other members and from the host list.
  it.each(['127.0.77.8:65536', '127.0.77.8:0', '127.0.77.8', '', 'nowhere:1'])(
    'counts a message to %j, which is no address, and does not throw',
    async (to) => {
      const { transport, counters } = await open(LOCAL_ADDRESS);
      transport.send(to, create(MemberMessageSchema, { kind: 'ping' }));
      expect(counters.valueOf('heartbeat_errors', 'no-address')).toBe(1);
      expect(counters.valueOf('heartbeat_bytes', 'sent')).toBe(0);
    },
  );

  it('counts unreadable datagrams and keeps receiving', async () => {
    const { transport, counters } = await open(LOCAL_ADDRESS);
    const received = new Promise<MemberMessage>((resolve) => {
      transport.listen(resolve);
    });
    const socket = createSocket('udp4');
    const [ip, port] = LOCAL_ADDRESS.split(':');
    socket.send(Buffer.from([255, 255, 255, 255]), Number(port), ip, () => {
      transport.send(LOCAL_ADDRESS, create(MemberMessageSchema, { kind: 'ping' }));
    });
    await received;
    expect(counters.valueOf('heartbeat_errors', 'unreadable')).toBe(1);
    socket.close();
  });

  it('reports the failed step and the address', async () => {
    await open(LOCAL_ADDRESS);
    await expect(open(LOCAL_ADDRESS)).rejects.toBeInstanceOf(CactusrunError);
    await expect(open(LOCAL_ADDRESS)).rejects.toMatchObject({
      step: 'binding heartbeats',
      peer: LOCAL_ADDRESS,
    });
  });
});
