import type { Socket } from 'node:net';
import { connect } from 'node:net';
import type { Clock } from '@cactusrun/core';
import { Counters, createRandom, ManualClock, silentLogger, systemClock } from '@cactusrun/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { CallerExchange } from '../../callers/CallerExchange.js';
import CallerServer from '../../callers/CallerServer.js';
import HeldAnswers from '../../callers/HeldAnswers.js';
import BodyRooms from '../../memory/BodyRooms.js';
import MemoryBudget from '../../memory/MemoryBudget.js';
import createTargetAnswer from './createTargetAnswer.js';

const HOST = '127.0.8.1';
const PORT = 18_566;
const MEGABYTE = 1_048_576;
const LARGE_LIMIT_BYTES = 7 * MEGABYTE;
const LIMITS = {
  headerBytes: 1_000,
  bodyBytes: 16 * MEGABYTE,
  headerMilliseconds: 3_000,
  idleMilliseconds: 5_000,
};
const DEADLINE_MILLISECONDS = 800;

interface Caller {
  readonly socket: Socket;
  /** All that has arrived from the server. */
  readonly received: () => string;
  readonly isOpen: () => boolean;
}

describe('bodies of requests', () => {
  let budget: MemoryBudget;
  let server: CallerServer;
  let exchanges: CallerExchange[];
  let callers: Caller[];
  let answer: () => void;

  beforeEach(() => start(systemClock));

  afterEach(() => {
    callers.forEach(({ socket }) => socket.destroy());
    answer();
    server.closeNow();
  });

  async function start(clock: Clock): Promise<void> {
    const counters = new Counters();
    exchanges = [];
    callers = [];
    budget = new MemoryBudget(8 * MEGABYTE, clock, counters);
    const isAnswered = new Promise<void>((resolve) => {
      answer = resolve;
    });
    server = new CallerServer({
      isForPeers: false,
      address: `${HOST}:${PORT}`,
      names: { attemptId: 'X-Attempt', deadline: 'X-Deadline', reserved: new Set() },
      clock,
      random: createRandom(1),
      counters,
      logger: silentLogger,
      limits: () => LIMITS,
      heldAnswers: new HeldAnswers(MEGABYTE, budget),
      bodyRooms: new BodyRooms(budget, counters),
      canOverlap: () => false,
      handle: async (exchange) => {
        exchanges.push(exchange);
        await isAnswered;
        return {
          kind: 'answered',
          answer: createTargetAnswer({ bodyStart: Buffer.from('served') }),
        };
      },
    });
    await server.start();
  }

  async function restart(clock: Clock): Promise<void> {
    server.closeNow();
    await start(clock);
  }

  function send(framing: string, body: Buffer | string): Caller {
    const socket = connect(PORT, HOST);
    let text = '';
    let isOpen = true;
    socket.on('data', (bytes) => {
      text += bytes.toString();
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      isOpen = false;
    });
    socket.write(`POST / HTTP/1.1\r\nhost: h\r\nX-Deadline: ${DEADLINE_MILLISECONDS}\r\n`);
    socket.write(`${framing}\r\n\r\n`);
    socket.write(body);
    const caller = { socket, received: () => text, isOpen: () => isOpen };
    callers.push(caller);
    return caller;
  }

  function sendStated(bytes: number, sentBytes = bytes): Caller {
    return send(`content-length: ${bytes}`, Buffer.alloc(sentBytes, 'x'));
  }

  function sendChunk(bytes: number): Caller {
    const chunk = `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
    return send('transfer-encoding: chunked', chunk);
  }

  async function until(condition: () => boolean): Promise<void> {
    if (condition()) return;
    await systemClock.sleep(5);
    await until(condition);
  }

  const isRefused = ({ received }: Caller) => received().includes('"reason":"memory-full"');
  const isServed = ({ received }: Caller) => received().endsWith('served');

  describe('that are large', () => {
    it('are refused before they are read when there will be no room, and can retry', async () => {
      sendStated(LARGE_LIMIT_BYTES);
      await until(() => exchanges.length === 1);
      const caller = sendStated(8 * MEGABYTE, 0);
      await until(() => isRefused(caller));
      expect(caller.received()).toContain('HTTP/1.1 503');
      expect(caller.received()).toMatch(/retry-after: \d/);
      expect(caller.received()).toContain('"notRun":true');
      expect(caller.received()).toContain('connection: close');
    });

    it('wait for those before them, and are read when there is room', async () => {
      sendStated(5 * MEGABYTE);
      await until(() => exchanges.length === 1);
      const second = sendStated(5 * MEGABYTE);
      await systemClock.sleep(50);
      expect(exchanges).toHaveLength(1);
      expect(budget.heldBytes).toBe(5 * MEGABYTE);
      answer();
      await until(() => isServed(second));
      expect(exchanges[1]?.body).toHaveLength(5 * MEGABYTE);
      expect(budget.heldBytes).toBe(0);
    });

    it('are refused whole when they have waited too long, also while their callers send', async () => {
      sendStated(5 * MEGABYTE);
      await until(() => exchanges.length === 1);
      const second = sendStated(5 * MEGABYTE);
      await until(() => isRefused(second));
      await until(() => !second.isOpen());
      expect(second.received().endsWith('}\n')).toBe(true);
    });

    it('do not keep small ones out', async () => {
      sendStated(LARGE_LIMIT_BYTES, 100);
      await until(() => budget.heldBytes === LARGE_LIMIT_BYTES);
      answer();
      const small = sendStated(4_000);
      await until(() => isServed(small));
    });
  });

  it('give their room back when their callers are gone', async () => {
    const reading = sendStated(5 * MEGABYTE, MEGABYTE);
    await until(() => budget.heldBytes === 5 * MEGABYTE);
    const waiting = sendStated(4 * MEGABYTE);
    const growing = sendChunk(100_000);
    await until(() => budget.heldBytes > 5 * MEGABYTE);
    [waiting, reading, growing].forEach(({ socket }) => socket.destroy());
    await until(() => budget.heldBytes === 0);
  });

  it('that stall are refused at the deadline of their callers', async () => {
    const clock = new ManualClock();
    await restart(clock);
    const caller = sendStated(5 * MEGABYTE, MEGABYTE);
    await until(() => budget.heldBytes === 5 * MEGABYTE);
    await clock.advance(DEADLINE_MILLISECONDS);
    await until(() => caller.received().includes('"reason":"too-late"'));
    expect(budget.heldBytes).toBe(0);
  });

  it('that are half read and hold all of the budget let the oldest arrive', async () => {
    answer();
    const callersInTurn: Caller[] = [];
    await Array.from({ length: 12 }).reduce<Promise<void>>(async (before) => {
      await before;
      const held = budget.heldBytes;
      const caller = sendChunk(400_000);
      callersInTurn.push(caller);
      await until(() => budget.heldBytes >= held + 800_000 || isRefused(caller));
    }, Promise.resolve());
    expect(callersInTurn.filter(isRefused).length).toBeGreaterThan(0);
    const [oldest] = callersInTurn;
    oldest?.socket.write(`${(2_500_000).toString(16)}\r\n${'x'.repeat(2_500_000)}\r\n0\r\n\r\n`);
    await until(() => isServed(oldest!));
    expect(exchanges[0]?.body).toHaveLength(2_900_000);
    callersInTurn.forEach(({ socket }) => socket.destroy());
    await until(() => budget.heldBytes === 0);
  });
});
