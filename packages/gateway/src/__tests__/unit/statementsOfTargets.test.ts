import { Counters, createRandom, ManualClock, silentLogger, systemClock } from '@cactusrun/core';
import { ScriptedTarget } from '@cactusrun/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import IdleReuse from '../../connections/IdleReuse.js';
import { openConnection } from '../../connections/openConnection.js';
import TargetConnections from '../../connections/TargetConnections.js';
import { decodePeerMessage, encodePeerMessage } from '../../fleet/PeerCodec.js';
import TargetRateLimits from '../../limits/TargetRateLimits.js';
import type { TargetStatement } from '../../state/TargetStatement.js';
import createTargetEntry from './createTargetEntry.js';
import NAMES from './targetFieldNames.js';

describe('what a target states in an answer', () => {
  let server: ScriptedTarget;
  let connections: TargetConnections;
  let fields: string;

  beforeEach(async () => {
    server = new ScriptedTarget();
    server.follow((socket) => {
      socket.write(
        `HTTP/1.1 200 OK\r\nX-Attempt: a\r\nX-Signature: s\r\n${fields}content-length: 1\r\n\r\nx`,
      );
    });
    await server.start('127.0.0.1');
    const clock = systemClock;
    const reuse = new IdleReuse(clock);
    connections = new TargetConnections(NAMES, reuse, clock, new Counters(), openConnection);
  });

  afterEach(async () => {
    connections.close();
    await server.stop();
  });

  async function readStatement(): Promise<TargetStatement> {
    const request = {
      id: 'a',
      method: 'GET',
      path: '/p',
      fields: [['host', 'h']] as const,
      body: Buffer.alloc(0),
      kind: 'repeatable' as const,
      isRetry: false,
      needsNewConnection: false,
      deadline: systemClock.now() + 2_000,
    };
    const target = createTargetEntry('t', { address: server.address });
    const result = await connections.send(target, request, new AbortController().signal);
    if (result.kind !== 'answered') throw new Error(result.kind);
    return result.answer.stated;
  }

  it('does not make peers drop heartbeats, though its rate limit is out of range', async () => {
    fields = `${NAMES.rateLimit}: ${'9'.repeat(400)}\r\n`;
    const { rateLimit } = await readStatement();
    const limits = new TargetRateLimits({
      share: { of: () => 1 },
      clock: new ManualClock(),
      random: createRandom(1),
      counters: new Counters(),
      logger: silentLogger,
    });
    if (rateLimit !== undefined) limits.observe('t', rateLimit, 0, 'own');
    const heartbeat = encodePeerMessage({
      kind: 'beat',
      sender: 'n',
      incarnation: 5,
      state: 'ready',
      isCutOff: false,
      pauseMilliseconds: 600,
      versions: { configuration: 1, targets: 1, ageMilliseconds: 0 },
      outstanding: {},
      unhealthy: [],
      rateLimits: limits.reports(),
      leavingTargets: [],
    });
    expect(decodePeerMessage(heartbeat)).toMatchObject({ kind: 'beat', sender: 'n' });
  });

  it('does not make peers drop reports, though its load is negative', async () => {
    fields = `${NAMES.load}: -5,0,2\r\n`;
    const { requests } = await readStatement();
    const reports = encodePeerMessage({
      kind: 'calls',
      sender: 'n',
      reports: [
        {
          target: 't',
          outstanding: 0,
          outcome: 'good',
          elapsedMilliseconds: 3,
          ...(requests === undefined ? {} : { reportedRequests: requests }),
        },
        { target: 'u', outstanding: 1, attemptKind: 'fresh' },
      ],
    });
    expect(decodePeerMessage(reports)).toMatchObject({ kind: 'calls', sender: 'n' });
  });
});
