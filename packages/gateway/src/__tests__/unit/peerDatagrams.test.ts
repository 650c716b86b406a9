import { CrashTracker } from '@cactusrun/requests';
import { Counters, createRandom, ManualClock, silentLogger } from '@cactusrun/core';
import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import LocalDaemon from '../../fleet/LocalDaemon.js';
import { decodePeerMessage, encodePeerMessage } from '../../fleet/PeerCodec.js';
import type { PeerHandlers } from '../../fleet/peerHandlers.js';
import { createPeerHandlers, dispatchPeerMessage } from '../../fleet/peerHandlers.js';
import type { PeerMessage } from '../../fleet/PeerMessage.js';
import AttemptTracker from '../../health/AttemptTracker.js';
import RegionUseExchange from '../../limits/RegionUseExchange.js';
import StateFollower from '../../state/StateFollower.js';
import type { GatewayOptions } from '../../wiring/GatewayOptions.js';
import type { SharedState } from '../../wiring/GatewayParts.js';
import { buildSharedState } from '../../wiring/GatewayParts.js';

const SEED = 20_261_205;
const RUNS = 3_000;
const NESTING_DEPTH = 4_000;
const VERSIONS = { configuration: 7, targets: 40, ageMilliseconds: 12 };
const ENTRY = {
  id: 't',
  address: '127.0.0.9:80',
  service: 's',
  zone: 'z',
  slots: 2,
  isLeaving: false,
  coldMilliseconds: 0,
  bornAt: 5,
  sequence: 1,
};
const PEER = {
  name: 'n',
  incarnation: 5,
  address: '127.0.0.2:1',
  callerAddress: '127.0.0.2:2',
  relayAddress: '127.0.0.2:3',
  zone: 'z',
  region: 'r',
  state: 'ready',
  capacity: 0.5,
} as const;

/** One sound message of each kind, from which datagrams of other shapes are made. */
const SOUND: readonly PeerMessage[] = [
  { kind: 'hello', sender: PEER, wantsReply: true, wantsPeers: true },
  {
    kind: 'beat',
    sender: 'n',
    incarnation: 5,
    state: 'ready',
    isCutOff: false,
    pauseMilliseconds: 600,
    versions: VERSIONS,
    outstanding: { t: 2 },
    unhealthy: [{ target: 't', ageMilliseconds: 40 }],
    rateLimits: [{ target: 't', rate: 2.5, ageMilliseconds: 30 }],
    leavingTargets: [{ target: 't', bornAt: 5 }],
    callerLoad: 0.25,
  },
  { kind: 'peers', sender: 'n', peers: [{ address: '127.0.0.3:1', region: 'r' }] },
  {
    kind: 'calls',
    sender: 'n',
    reports: [
      { target: 't', outstanding: 1, outcome: 'good', elapsedMilliseconds: 40, rateLimit: 2 },
      { target: 't', outstanding: 2, attemptKind: 'fresh', reportedRequests: 3 },
    ],
    use: { incarnation: 5, uses: [{ workspace: 'w', count: 40, recent: 2 }] },
  },
  {
    kind: 'region-use',
    sender: 'o',
    incarnation: 5,
    region: 'other',
    address: '127.0.0.4:1',
    number: 3,
    part: 0.75,
    uses: [{ workspace: 'w', count: 40, recent: 2 }],
  },
  {
    kind: 'news',
    sender: 'n',
    versions: { ...VERSIONS, targets: 41 },
    after: 40,
    changes: [
      { kind: 'present', entry: ENTRY },
      { kind: 'removed', id: 'u' },
    ],
  },
  { kind: 'leaving-targets', sender: 'n', leavingTargets: [{ target: 't', bornAt: 5 }] },
  { kind: 'crash', sender: 'n', fingerprint: 'f', crashes: 2 },
];

const ODD_VALUES: readonly unknown[] = [
  null,
  true,
  -1,
  1.5,
  1e300,
  '',
  'x',
  '127.0.0.2:99999',
  [],
  [null],
  {},
  { toString: 7 },
];

/** Paths to all values inside of a JSON value. */
function pathsOf(value: unknown): readonly (readonly string[])[] {
  if (typeof value !== 'object' || value === null) return [[]];
  const inner = Object.entries(value).flatMap(([key, child]) =>
    pathsOf(child).map((path) => [key, ...path]),
  );
  return [[], ...inner];
}

/** A copy with the value at the path replaced, or removed if the new one is undefined. */
function replaceAt(value: unknown, [key, ...rest]: readonly string[], by: unknown): unknown {
  if (key === undefined) return by;
  const copy = (Array.isArray(value) ? [...value] : { ...(value as object) }) as Record<
    string,
    unknown
  >;
  copy[key] = replaceAt(copy[key], rest, by);
  return copy;
}

const wireForms = SOUND.map((message): unknown =>
  JSON.parse(encodePeerMessage(message).toString()),
);

/** Sound datagrams with up to three values replaced, and JSON of any other shape. */
const oddDatagram = fc.oneof(
  { weight: 1, arbitrary: fc.jsonValue() },
  {
    weight: 9,
    arbitrary: fc
      .tuple(
        fc.constantFrom(...wireForms),
        fc.array(fc.tuple(fc.nat(), fc.oneof(fc.constantFrom(...ODD_VALUES), fc.jsonValue())), {
          minLength: 1,
          maxLength: 3,
        }),
      )
      .map(([form, replacements]) =>
        replacements.reduce<unknown>((value, [choice, by]) => {
          const paths = pathsOf(value);
          return replaceAt(value, paths[choice % paths.length] ?? [], by);
        }, form),
      ),
  },
);

// A peer of another build, or a faulty one, may send a datagram of any shape at any time.
describe('a datagram of any shape', () => {
  let clock: ManualClock;
  let daemon: LocalDaemon;
  let sharedState: SharedState;
  let handlers: PeerHandlers;
  let sent: { readonly addresses: readonly string[]; readonly message: PeerMessage }[];

  beforeEach(() => {
    clock = new ManualClock();
    sent = [];
    const counters = new Counters();
    const random = createRandom(SEED);
    const logger = silentLogger;
    const regions = { z: 'r', y: 'other' };
    const options = {
      name: 'm',
      zone: 'z',
      region: 'r',
      regions,
      peerAddress: '127.0.0.1:1',
      callerAddress: '127.0.0.1:2',
      relayAddress: '127.0.0.1:3',
      capacity: 1,
      retryBudget: { ratio: 0.1, fixedRetries: 10, windowMilliseconds: 10_000, regions: 2 },
      quotaBounds: { windowMilliseconds: 5_000, excess: 1.1, slack: 20 },
      floorShare: 0.5,
      heldAnswerBytes: 1_000_000,
      decode: () => {
        throw new Error('no document');
      },
      clock,
      random,
      counters,
      logger,
    } as unknown as GatewayOptions;
    daemon = new LocalDaemon(options);
    sharedState = buildSharedState(options, () => daemon.describe());
    const link = {
      send: (addresses: readonly string[], message: PeerMessage) => {
        sent.push({ addresses, message });
        return true;
      },
    };
    const parts = { ...sharedState, selfName: 'm', name: 'm', daemon, sharedState, link };
    const shared = { ...parts, clock, random, counters, logger };
    handlers = createPeerHandlers({
      ...shared,
      attemptTracker: new AttemptTracker(shared),
      crashes: new CrashTracker(clock, counters, () => {}),
      regionUse: new RegionUseExchange({
        ...shared,
        describeSelf: () => daemon.describe(),
        regions,
        reportToPeers: () => {},
      }),
      follower: new StateFollower({
        ...shared,
        store: undefined as never,
        fetchState: async () => Promise.reject(new Error('not fetched')),
        isFleetStart: false,
      }),
    });
    wireForms.forEach(receive);
  });

  /** Receives a datagram as PeerLink does; returns whether it was understood. */
  function receive(value: unknown): boolean {
    const message = decodePeerMessage(Buffer.from(JSON.stringify(value)));
    if (message !== undefined) dispatchPeerMessage(handlers, message, '127.0.0.2:1');
    return message !== undefined;
  }

  /** What this daemon itself tells its peers. */
  function ownMessages(): readonly PeerMessage[] {
    return [
      { ...daemon.createHeartbeat(sharedState), pauseMilliseconds: 600 },
      daemon.createHello(true),
      { kind: 'peers', sender: 'm', peers: sharedState.members.knownAndSelf() },
      ...sent.map(({ message }) => message),
    ];
  }

  it('is understood if it is sound', () => {
    expect(wireForms.map(receive)).toEqual(SOUND.map(() => true));
    expect(sharedState.members.get('n')?.callerLoad).toBe(0.25);
  });

  it('throws nothing, and leaves this daemon with beliefs that its peers understand', () => {
    const property = fc.property(oddDatagram, (value) => {
      sent = [];
      receive(value);
      ownMessages().forEach((message) => {
        expect(decodePeerMessage(encodePeerMessage(message))).toEqual(message);
      });
      expect(sharedState.outstanding.countAt('t', clock.now())).toBeGreaterThanOrEqual(0);
    });
    fc.assert(property, { seed: SEED, numRuns: RUNS });
  });

  it('is not understood if a field of it is missing', () => {
    const understood = wireForms
      .filter((form) => !Array.isArray(form))
      .flatMap((form) => Object.keys(form as object).map((key) => ({ form, key })))
      .filter(({ form, key }) => receive(replaceAt(form, [key], undefined)))
      .map(({ key }) => key);
    expect(understood).toEqual(['wantsReply', 'wantsPeers']);
  });

  it('is understood with fields of later versions, which are left out', () => {
    wireForms.forEach((form) => {
      const later = Array.isArray(form)
        ? [...form, { later: 1 }]
        : { ...(form as object), later: 1 };
      const message = decodePeerMessage(Buffer.from(JSON.stringify(later)));
      expect(message).toEqual(decodePeerMessage(Buffer.from(JSON.stringify(form))));
    });
  });

  it('is not understood if it is nested very deeply', () => {
    const deep = `${'['.repeat(NESTING_DEPTH)}${']'.repeat(NESTING_DEPTH)}`;
    [deep, `["beat",${deep}]`, `{"kind":"crash","sender":${deep}}`].forEach((text) => {
      expect(decodePeerMessage(Buffer.from(text))).toBeUndefined();
    });
  });

  it('does not delay the timeout of a member without end', () => {
    const beat = wireForms[1] as readonly unknown[];
    expect(receive(replaceAt(beat, ['4'], 1e300))).toBe(false);
    expect(sharedState.members.get('n')?.timeoutMilliseconds).toBe(2_400);
  });
});
