import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { PassThrough } from 'node:stream';
import type { Clock } from '@cactusrun/core';
import { Counters, createRandom, silentLogger, systemClock } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { CallerExchange, CallerOutcome } from '../../callers/CallerExchange.js';
import { refuse } from '../../callers/CallerExchange.js';
import CallerServer from '../../callers/CallerServer.js';
import IdleReuse from '../../connections/IdleReuse.js';
import { openConnection } from '../../connections/openConnection.js';
import type { TargetAnswer } from '../../connections/TargetAttempt.js';
import TargetConnections from '../../connections/TargetConnections.js';
import type { PeerDescription } from '../../fleet/PeerMessage.js';
import type { RelayedRequest } from '../../relay/PeerRelay.js';
import PeerRelay from '../../relay/PeerRelay.js';
import createTargetAnswer from './createTargetAnswer.js';
import createPeerDescription from './createPeerDescription.js';
import NAMES from './targetFieldNames.js';

const HOST = '127.0.7.61';
const PORTS = { first: 17_561, second: 17_562, silent: 17_563, closed: 17_564 } as const;
const LIMITS = {
  headerBytes: 10_000,
  bodyBytes: 4_000_000,
  headerMilliseconds: 5_000,
  idleMilliseconds: 5_000,
};
const RESERVED = new Set(['x-attempt', 'x-deadline', 'x-expected']);
const POLL = { interval: 1, timeout: 10_000 };
/** What is buffered of an answer before its caller gets any of it. */
const BUFFERED_BYTES = 1_048_576;
/** Larger than what is buffered whole. */
const LARGE_BYTES = 1_500_000;

function createAnswer(change: Partial<TargetAnswer> = {}): CallerOutcome {
  const fields = [
    ['X-Attempt', 'a'],
    ['X-Signature', 's'],
  ] as const;
  const whole = { fields, bodyStart: Buffer.from('body') };
  return { kind: 'answered', answer: createTargetAnswer({ ...whole, ...change }) };
}

describe('PeerRelay', () => {
  let clock: Clock;
  let servers: CallerServer[];
  let received: { readonly port: number; readonly exchange: CallerExchange }[];
  /** What the peer at each port makes of a request. */
  let handlers: Map<number, (exchange: CallerExchange) => Promise<CallerOutcome>>;
  let peers: PeerDescription[];
  let connections: TargetConnections;
  let relay: PeerRelay;

  beforeEach(async () => {
    clock = systemClock;
    servers = [];
    received = [];
    handlers = new Map();
    await startPeer(PORTS.first);
    await startPeer(PORTS.second);
    peers = [describePeer(PORTS.first)];
    const counters = new Counters();
    connections = new TargetConnections(
      NAMES,
      new IdleReuse(clock),
      clock,
      counters,
      openConnection,
    );
    relay = new PeerRelay({
      directory: { relayPeers: () => peers },
      connections,
      clock,
      random: { ...createRandom(1), below: () => 0, unit: () => 0 },
      counters,
      logger: silentLogger,
    });
  });

  afterEach(() => {
    connections.close();
    servers.forEach((server) => server.closeNow());
  });

  function describePeer(port: number): PeerDescription {
    return createPeerDescription(`peer-${port}`, { relayAddress: `${HOST}:${port}` });
  }

  async function startPeer(port: number): Promise<void> {
    const server = new CallerServer({
      address: `${HOST}:${port}`,
      names: { attemptId: NAMES.attemptId, deadline: NAMES.deadline, reserved: RESERVED },
      isForPeers: true,
      clock,
      random: createRandom(1),
      counters: new Counters(),
      logger: silentLogger,
      limits: () => LIMITS,
      canOverlap: () => false,
      handle: (exchange) => {
        received.push({ port, exchange });
        return (handlers.get(port) ?? (async () => createAnswer()))(exchange);
      },
    });
    servers.push(server);
    await server.start();
  }

  function createRequest(change: Partial<CallerExchange> = {}): RelayedRequest {
    const exchange: CallerExchange = {
      id: 'a',
      host: 'h.example',
      method: 'POST',
      path: '/a/b?c',
      fields: [
        ['Host', 'h.example'],
        ['X-Other', 'o'],
      ],
      body: Buffer.from('request body'),
      deadlineMilliseconds: 1_500,
      receivedAt: clock.now(),
      relayed: undefined,
      signal: new AbortController().signal,
      passOn: () => true,
      ...change,
    };
    const statement = { attemptsMade: 1, configurationVersion: 7 };
    return {
      exchange,
      kind: 'once',
      deadline: clock.now() + 1_500,
      statement,
      needsAuthorization: false,
    };
  }

  describe('a relayed request', () => {
    it('arrives whole, with its remaining time and what its daemon states of it', async () => {
      const result = await relay.send(createRequest());
      expect(result).toMatchObject({ kind: 'answered', answer: { status: 200, isSigned: true } });
      const { exchange } = received[0]!;
      expect(exchange).toMatchObject({
        id: 'a',
        host: 'h.example',
        method: 'POST',
        path: '/a/b?c',
        fields: [
          ['Host', 'h.example'],
          ['X-Other', 'o'],
        ],
        relayed: { attemptsMade: 1, configurationVersion: 7 },
      });
      expect(exchange.body.toString()).toBe('request body');
      expect(exchange.deadlineMilliseconds).toBeLessThanOrEqual(1_500);
    });

    it('is cancelled at the peer when its caller disconnects', async () => {
      const caller = new AbortController();
      const aborted = new Promise<void>((resolve) => {
        handlers.set(PORTS.first, ({ signal }) => {
          signal.addEventListener('abort', () => resolve());
          caller.abort();
          return new Promise(() => {});
        });
      });
      const result = await relay.send(createRequest({ signal: caller.signal }));
      expect(result).toEqual({ kind: 'cancelled' });
      await aborted;
    });

    it('ends at its deadline when the peer does not answer', async () => {
      handlers.set(PORTS.first, () => new Promise(() => {}));
      const request = { ...createRequest(), deadline: clock.now() + 100 };
      expect(await relay.send(request)).toEqual({ kind: 'timeout' });
    });

    it('ends when its peer is found to be gone; it may have run', async () => {
      handlers.set(PORTS.first, async () => {
        relay.forget(`peer-${PORTS.first}`);
        return new Promise(() => {});
      });
      expect(await relay.send(createRequest())).toMatchObject({ kind: 'broken' });
    });

    describe('whose large answer waits for its caller when the peer is found to be gone', () => {
      async function sendLarge(bodyRest: PassThrough): Promise<readonly [Buffer, PassThrough]> {
        handlers.set(PORTS.first, async () => createAnswer({ bodyRest }));
        const result = await relay.send(createRequest());
        const { answer } = result as Extract<typeof result, { kind: 'answered' }>;
        return [answer.bodyStart, answer.bodyRest as PassThrough];
      }

      it('gets it whole if it has arrived whole', async () => {
        const body = Buffer.alloc(BUFFERED_BYTES + 2_000);
        const [start, rest] = await sendLarge(new PassThrough().end(body));
        await expect.poll(() => rest.writableEnded, POLL).toBe(true);
        relay.forget(`peer-${PORTS.first}`);
        const parts: readonly Buffer[] = await rest.toArray();
        expect(Buffer.concat([start, ...parts]).length).toBe(body.length + 4);
      });

      it('gets it cut off, as a failure of the peer, if the rest is missing', async () => {
        const unfinished = new PassThrough();
        unfinished.write(Buffer.alloc(LARGE_BYTES));
        const [, rest] = await sendLarge(unfinished);
        relay.forget(`peer-${PORTS.first}`);
        await expect(rest.toArray()).rejects.toMatchObject({ isTargetFailure: true });
      });
    });

    it('gets a large answer as it arrives', async () => {
      handlers.set(PORTS.first, async () => {
        const bodyRest = new PassThrough();
        bodyRest.end(Buffer.alloc(LARGE_BYTES));
        return createAnswer({ bodyRest });
      });
      const result = await relay.send(createRequest());
      const rest = result.kind === 'answered' ? result.answer.bodyRest : undefined;
      const sizes = await rest!.map((chunk: Buffer) => chunk.length).toArray();
      const start = result.kind === 'answered' ? result.answer.bodyStart.length : 0;
      expect(start + sizes.reduce((sum, size) => sum + size, 0)).toBe(LARGE_BYTES + 4);
    });

    it('gets a large answer that breaks off as one that is not whole', async () => {
      handlers.set(PORTS.first, async () => {
        const bodyRest = new PassThrough();
        bodyRest.write(Buffer.alloc(LARGE_BYTES));
        setTimeout(() => bodyRest.destroy(new Error('cut')), 100);
        return createAnswer({ bodyRest });
      });
      const result = await relay.send(createRequest());
      const rest = result.kind === 'answered' ? result.answer.bodyRest! : new PassThrough();
      await expect(rest.toArray()).rejects.toThrow();
    });
  });

  describe('a refusal by the peer', () => {
    it('is told from an answer of a target, with its reason', async () => {
      handlers.set(PORTS.first, async () => refuse('overloaded'));
      expect(await relay.send(createRequest())).toEqual({ kind: 'refused', reason: 'overloaded' });
    });

    it('cannot be sent by a target', async () => {
      handlers.set(PORTS.first, async () =>
        createAnswer({
          fields: [
            ['X-Attempt', 'a'],
            ['Cactusrun-Refusal', 'unreachable'],
          ],
        }),
      );
      expect(await relay.send(createRequest())).toMatchObject({ kind: 'answered' });
    });

    it('that is itself cut off leads to another peer', async () => {
      peers = [PORTS.first, PORTS.second].map(describePeer);
      handlers.set(PORTS.first, async () => refuse('unreachable'));
      handlers.set(PORTS.second, async () => createAnswer());
      await Promise.all(Array.from({ length: 8 }, () => relay.send(createRequest())));
      const result = await relay.send(createRequest());
      expect(result).toMatchObject({ kind: 'answered' });
      expect(received.at(-1)?.port).toBe(PORTS.second);
    });

    it('since it is stopping leads to another peer', async () => {
      peers = [PORTS.first, PORTS.second].map(describePeer);
      handlers.set(PORTS.first, async () => refuse('stopping'));
      const results = [await relay.send(createRequest()), await relay.send(createRequest())];
      expect(results.map(({ kind }) => kind)).toEqual(['answered', 'answered']);
      expect(received.map(({ port }) => port)).toContain(PORTS.first);
    });

    it('of all peers leaves the request unsent', async () => {
      handlers.set(PORTS.first, async () => refuse('unreachable'));
      expect(await relay.send(createRequest())).toEqual({ kind: 'no-peer' });
    });
  });

  describe('a peer that fails', () => {
    it('before the request is written is replaced by another one', async () => {
      peers = [PORTS.closed, PORTS.second].map(describePeer);
      const results = await Promise.all(
        Array.from({ length: 6 }, () => relay.send(createRequest())),
      );
      expect(results.map(({ kind }) => kind)).toEqual(Array.from({ length: 6 }, () => 'answered'));
    });

    it('after that is not: the request may have run', async () => {
      const silent = createServer((socket) => {
        socket.once('data', () => socket.resetAndDestroy());
      });
      await new Promise<void>((resolve) => {
        silent.listen(PORTS.silent, HOST, resolve);
      });
      peers = [describePeer(PORTS.silent)];
      expect(await relay.send(createRequest())).toMatchObject({ kind: 'broken' });
      silent.close();
    });

    it('is not there when peers of older programs take no relayed requests', () => {
      peers = [createPeerDescription('old')];
      expect(relay.isAvailable(false)).toBe(false);
    });

    it('is not there for keyed requests when peers of older programs authorize nobody', () => {
      peers = [describePeer(PORTS.first)];
      expect(relay.isAvailable(false)).toBe(true);
      expect(relay.isAvailable(true)).toBe(false);
      peers = [{ ...describePeer(PORTS.first), authorizesCallers: true }];
      expect(relay.isAvailable(true)).toBe(true);
    });
  });

  describe('fields that only daemons set', () => {
    it('are removed from the requests of callers', async () => {
      const address = { host: HOST, port: PORTS.first, path: '/' };
      const headers = { 'X-Attempt': 'a', 'Cactusrun-Refusal': 'overloaded' };
      await new Promise((resolve) => {
        httpRequest({ ...address, headers, agent: false }, resolve).end();
      });
      const names = received[0]!.exchange.fields.map(([name]) => name.toLowerCase());
      expect(names).not.toContain('cactusrun-refusal');
    });
  });
});
