import { createRandom, ManualClock, silentLogger } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import FleetMembers from '../../fleet/FleetMembers.js';
import { encodePeerMessage } from '../../fleet/PeerCodec.js';
import type { PeerHandlerParts, PeerHandlers } from '../../fleet/peerHandlers.js';
import { createPeerHandlers } from '../../fleet/peerHandlers.js';
import { MAXIMUM_DATAGRAM_BYTES } from '../../fleet/PeerLink.js';
import type { PeerMessage } from '../../fleet/PeerMessage.js';
import createPeerDescription from './createPeerDescription.js';

const FLEET_SIZE = 2_200;

/** At the start of a fleet every daemon meets every other one of its region. */
describe('peerHandlers', () => {
  let sent: { readonly addresses: readonly string[]; readonly message: PeerMessage }[];
  let handlers: PeerHandlers;

  beforeEach(() => {
    sent = [];
    const self = () => createPeerDescription('m');
    const members = new FleetMembers(self, new ManualClock(), silentLogger, () => {});
    members.addAddresses(
      Array.from({ length: FLEET_SIZE }, (_, index) => ({
        address: `127.100.${Math.floor(index / 250)}.${index % 250}:17540`,
        region: 'r',
      })),
    );
    const link = {
      send: (addresses: readonly string[], message: PeerMessage) => {
        sent.push({ addresses, message });
        return true;
      },
    };
    const createHello = (wantsReply: boolean) =>
      ({ kind: 'hello', sender: self(), wantsReply, wantsPeers: false }) as const;
    handlers = createPeerHandlers({
      name: 'm',
      daemon: { createHello },
      sharedState: { members },
      link,
      random: createRandom(1),
    } as unknown as PeerHandlerParts);
  });

  function greet(wantsPeers: boolean): void {
    const sender = createPeerDescription('new');
    handlers.hello({ kind: 'hello', sender, wantsReply: wantsPeers, wantsPeers }, 'new:1');
  }

  it('answer a new acquaintance with one small message', () => {
    greet(false);
    expect(sent.map(({ message }) => message.kind)).toEqual(['hello']);
  });

  it('send a daemon that knows nobody every address, in messages that fit into a datagram', () => {
    greet(true);
    const parts = sent.filter(
      ({ addresses, message }) => message.kind === 'peers' && addresses.includes('new:1'),
    );
    const peers = parts.flatMap(({ message }) => (message.kind === 'peers' ? message.peers : []));
    expect(new Set(peers.map(({ address }) => address)).size).toBeGreaterThanOrEqual(FLEET_SIZE);
    expect(
      parts.every(({ message }) => encodePeerMessage(message).length <= MAXIMUM_DATAGRAM_BYTES),
    ).toBe(true);
  });
});
