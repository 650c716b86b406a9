import { describe, expect, it } from 'vitest';
import { decodePeerMessage, encodePeerMessage } from '../../fleet/PeerCodec.js';
import type { PeerMessage } from '../../fleet/PeerMessage.js';

const VERSIONS = { configuration: 7, targets: 40, ageMilliseconds: 12 };

const MESSAGES: readonly PeerMessage[] = [
  {
    kind: 'hello',
    sender: {
      name: 'host-1',
      incarnation: 5,
      address: '127.0.0.1:1',
      callerAddress: '127.0.0.1:2',
      zone: 'a',
      region: 'r',
      state: 'ready',
      capacity: 0.5,
    },
    wantsReply: true,
    wantsPeers: false,
  },
  {
    kind: 'beat',
    sender: 'host-1',
    incarnation: 5,
    state: 'leaving',
    isCutOff: true,
    pauseMilliseconds: 600,
    versions: VERSIONS,
    outstanding: { t: 2 },
    unhealthy: [{ target: 'u', ageMilliseconds: 40 }],
    rateLimits: [
      { target: 't', rate: 2.5, ageMilliseconds: 30 },
      { target: 'u', rate: 'unlimited', ageMilliseconds: 20 },
    ],
    leavingTargets: [{ target: 'v', bornAt: 1_700_000_000_000 }],
  },
  { kind: 'peers', sender: 'host-1', peers: [{ address: '127.0.0.1:1', region: 'r' }] },
  {
    kind: 'calls',
    sender: 'host-1',
    reports: [
      { target: 't', outstanding: 1 },
      { target: 't', outstanding: 1, attemptKind: 'fresh' },
      { target: 't', outstanding: 2, attemptKind: 'repeated' },
      {
        target: 't',
        outstanding: 0,
        outcome: 'good',
        reportedRequests: 0,
        elapsedMilliseconds: 40,
      },
      { target: 'u', outstanding: 3, outcome: 'unreachable' },
      { target: 'u', outstanding: 2, outcome: 'good', rateLimit: 0.5 },
      { target: 'u', outstanding: 1, outcome: 'good', rateLimit: 'unlimited' },
    ],
  },
  {
    kind: 'calls',
    sender: 'host-1',
    reports: [{ target: 't', outstanding: 1 }],
    use: { incarnation: 5, uses: [{ workspace: 'w', count: 40, recent: 2 }] },
  },
  {
    kind: 'region-use',
    sender: 'host-1',
    incarnation: 5,
    region: 'r',
    address: '127.0.0.1:1',
    number: 3,
    part: 0.75,
    uses: [{ workspace: 'w', count: 40, recent: 2 }],
  },
  { kind: 'news', sender: 'host-1', versions: VERSIONS, after: 39, changes: [] },
  { kind: 'leaving-targets', sender: 'host-1', leavingTargets: [{ target: 'v', bornAt: 3 }] },
  { kind: 'crash', sender: 'host-1', fingerprint: 'f', crashes: 2 },
];

describe('PeerCodec', () => {
  describe('every kind of message', () => {
    MESSAGES.forEach((message) => {
      it(`decodes ${message.kind} to the message that was encoded`, () => {
        expect(decodePeerMessage(encodePeerMessage(message))).toEqual(message);
      });
    });
  });

  // Without it, daemons of one fleet would choose their entries by different loads.
  describe('a heartbeat that tells a load', () => {
    const beats = MESSAGES.flatMap((message) => (message.kind === 'beat' ? [message] : []));

    it('keeps the load, and has none if the sender told none', () => {
      expect(beats.length).toBeGreaterThan(0);
      beats.forEach((beat) => {
        const told = { ...beat, callerLoad: 0.25 };
        expect(decodePeerMessage(encodePeerMessage(told))).toEqual(told);
        expect(decodePeerMessage(encodePeerMessage(beat))).not.toHaveProperty('callerLoad');
      });
    });
  });

  describe('bytes of another protocol', () => {
    ['', 'x', '{}', '{"kind":"other"}', 'null', '[', '7'].forEach((text) => {
      it(`rejects ${JSON.stringify(text)}`, () => {
        expect(decodePeerMessage(Buffer.from(text))).toBeUndefined();
      });
    });
  });
});
