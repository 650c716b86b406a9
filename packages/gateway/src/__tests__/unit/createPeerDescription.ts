/** A peer description for tests: a ready daemon in zone `z` of region `r`. */
import type { PeerDescription } from '../../fleet/PeerMessage.js';

export default function createPeerDescription(
  name: string,
  overrides: Partial<PeerDescription> = {},
): PeerDescription {
  return {
    name,
    incarnation: 1,
    address: `${name}:1`,
    callerAddress: `${name}:2`,
    zone: 'z',
    region: 'r',
    state: 'ready',
    capacity: 1,
    ...overrides,
  };
}
