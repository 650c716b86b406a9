import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';
import type { Clock } from '@cactusrun/core';
import { Counters, ManualClock, systemClock } from '@cactusrun/core';
import { ENDLESS_WRITERS, ScriptedTarget } from '@cactusrun/stand-ins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import AnswerCutError from '../../connections/AnswerCutError.js';
import IdleReuse from '../../connections/IdleReuse.js';
import type { AttemptResult } from '../../connections/TargetAttempt.js';
import { openConnection } from '../../connections/openConnection.js';
import TargetConnections from '../../connections/TargetConnections.js';
import MemoryBudget from '../../memory/MemoryBudget.js';
import createTargetEntry from './createTargetEntry.js';
import NAMES from './targetFieldNames.js';

const DEADLINE_MILLISECONDS = 300;
const LONG_MILLISECONDS = 30_000;
/** Time for bytes to arrive before the deadline passes. */
const ARRIVAL_MILLISECONDS = 150;
const CHUNK = 'x'.repeat(65_536);

type Script = (socket: Socket, attempt: string) => void;

/** A target in trouble may send bytes that are no answer, or an answer without end. */
describe('TargetExchange', () => {
  let server: ScriptedTarget;
  let connections: TargetConnections;
  let script: Script;
  let clock: Clock;
  let nextId = 0;

  beforeEach(async () => {
    useClock(systemClock);
    server = new ScriptedTarget();
    server.follow((socket, received) => {
      const attempt = /X-Attempt: (\S+)/.exec(received)?.[1];
      if (attempt !== undefined) script(socket, attempt);
    });
    await server.start('127.0.0.1');
  });

  afterEach(async () => {
    connections.close();
    await server.stop();
  });

  function useClock(chosen: Clock, memory?: MemoryBudget): void {
    clock = chosen;
    connections = new TargetConnections(
      NAMES,
      new IdleReuse(clock),
      clock,
      new Counters(),
      openConnection,
      memory,
    );
  }

  function send(
    signal = new AbortController().signal,
    milliseconds = DEADLINE_MILLISECONDS,
  ): Promise<AttemptResult> {
    nextId += 1;
    const target = createTargetEntry('target-1', { address: server.address });
    const request = {
      id: `attempt-${nextId}`,
      method: 'POST',
      path: '/p',
      fields: [['host', 'h']] as const,
      body: Buffer.from('body'),
      kind: 'once' as const,
      isRetry: false,
      needsNewConnection: false,
      deadline: clock.now() + milliseconds,
    };
    return connections.send(target, request, signal);
  }

  function head(attempt: string, fields: string, status = '200 OK'): string {
    return `HTTP/1.1 ${status}\r\nX-Attempt: ${attempt}\r\nX-Signature: s\r\n${fields}\r\n`;
  }

  it('survives a final answer in the packet of too many informational ones', async () => {
    script = (socket, attempt) => {
      const informational = 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(9);
      socket.write(`${informational}${head(attempt, 'content-length: 2\r\n')}ok`);
    };
    const exceptions: Error[] = [];
    const record = (error: Error) => exceptions.push(error);
    process.on('uncaughtExceptionMonitor', record);
    const result = await send();
    await systemClock.sleep(50);
    process.off('uncaughtExceptionMonitor', record);
    expect(result).toMatchObject({ kind: 'broken' });
    expect(exceptions).toEqual([]);
  });

  interface Delivery {
    readonly result: AttemptResult;
    readonly bytes: number;
    readonly error: Error | undefined;
    readonly isWhole: boolean;
  }

  async function readRest(bodyRest: Readable): Promise<Omit<Delivery, 'result'>> {
    let bytes = 0;
    return new Promise((resolve) => {
      bodyRest.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
      });
      bodyRest.on('end', () => resolve({ bytes, error: undefined, isWhole: true }));
      bodyRest.on('error', (error) => resolve({ bytes, error, isWhole: false }));
    });
  }

  async function deliver(signal?: AbortSignal): Promise<Delivery> {
    const result = await send(signal);
    if (result.kind !== 'answered') return { result, bytes: 0, error: undefined, isWhole: false };
    const { bodyRest } = result.answer;
    if (bodyRest === undefined) return { result, bytes: 0, error: undefined, isWhole: true };
    return { result, ...(await readRest(bodyRest)) };
  }

  /** What is sent before the bytes without end, and the bytes themselves. */
  const endless: Readonly<Record<string, readonly [(attempt: string) => string, string]>> = {
    'in the status line': [() => 'HTTP/1.1 200 ', 'x'],
    'that are not HTTP': [() => '', 'rubbish '],
    'in the head': [(attempt) => head(attempt, '').slice(0, -2), 'X-More: y\r\n'],
    'in one header field': [(attempt) => `${head(attempt, '').slice(0, -2)}X-More: `, 'y'],
    'as informational answers': [() => '', 'HTTP/1.1 102 Processing\r\n\r\n'],
    'in a body with a length': [
      (attempt) => head(attempt, 'content-length: 99999999999\r\n'),
      CHUNK,
    ],
    'in a body without a length': [(attempt) => head(attempt, ''), CHUNK],
    'in chunks': [
      (attempt) => head(attempt, 'transfer-encoding: chunked\r\n'),
      `10000\r\n${CHUNK}\r\n`,
    ],
    'in a chunk extension': [
      (attempt) => `${head(attempt, 'transfer-encoding: chunked\r\n')}5;`,
      'x',
    ],
    'between chunks': [
      (attempt) => `${head(attempt, 'transfer-encoding: chunked\r\n')}1\r\na\r\n`,
      'zz',
    ],
    'in the trailer': [
      (attempt) => `${head(attempt, 'transfer-encoding: chunked\r\n')}0\r\n`,
      'X-More: y\r\n',
    ],
  };

  describe('bytes without end', () => {
    Object.entries(endless).forEach(([place, [prefix, text]]) => {
      Object.entries(ENDLESS_WRITERS).forEach(([pace, write]) => {
        it(`${place}, ${pace}, end at the deadline and are no whole answer`, async () => {
          script = (socket, attempt) => {
            socket.write(prefix(attempt));
            write(socket, text);
          };
          const manualClock = new ManualClock();
          useClock(manualClock);
          const ending = deliver();
          await systemClock.sleep(ARRIVAL_MILLISECONDS);
          await manualClock.advance(DEADLINE_MILLISECONDS);
          const delivery = await ending;
          expect(delivery.isWhole).toBe(false);
          await systemClock.sleep(30);
          expect(server.sockets[0]?.destroyed).toBe(true);
        });
      });
    });

    it('in a large body count as a failure of the target', async () => {
      script = (socket, attempt) => {
        socket.write(head(attempt, ''));
        ENDLESS_WRITERS['at full speed'](socket, CHUNK);
      };
      const { error } = await deliver();
      expect(error instanceof AnswerCutError && error.isTargetFailure).toBe(true);
    });

    it('in a large body end at once when the caller disconnects', async () => {
      script = (socket, attempt) => {
        socket.write(head(attempt, ''));
        ENDLESS_WRITERS['at full speed'](socket, CHUNK);
      };
      const controller = new AbortController();
      const result = await send(controller.signal);
      expect(result.kind).toBe('answered');
      controller.abort();
      await systemClock.sleep(50);
      expect(server.sockets[0]?.destroyed).toBe(true);
    });

    it('behind a refusal leave the request not run and close the connection', async () => {
      script = (socket, attempt) => {
        socket.write(head(attempt, 'X-Not-Run: 1\r\n', '503 Full'));
        ENDLESS_WRITERS['at full speed'](socket, CHUNK);
      };
      expect(await send()).toMatchObject({ kind: 'not-run', reason: 'full' });
      await systemClock.sleep(100);
      expect(server.sockets[0]?.destroyed).toBe(true);
    });

    it('after a whole answer close the connection and reach no other request', async () => {
      script = (socket, attempt) => {
        socket.write(`${head(attempt, 'content-length: 2\r\n')}ok`);
        setTimeout(() => ENDLESS_WRITERS['at full speed'](socket, CHUNK), 10);
      };
      const first = await send();
      expect(first.kind === 'answered' && first.answer.bodyStart.toString()).toBe('ok');
      await systemClock.sleep(60);
      expect(server.sockets[0]?.destroyed).toBe(true);
      const second = await send();
      expect(second.kind === 'answered' && second.answer.bodyStart.toString()).toBe('ok');
      expect(server.sockets).toHaveLength(2);
    });
  });

  describe('an answer in pieces of one byte', () => {
    const PIECES = 900_000;
    const MAXIMUM_BYTES_PER_PIECE = 100;

    it('does not take memory for each of them', async () => {
      script = (socket, attempt) => {
        socket.write(head(attempt, 'transfer-encoding: chunked\r\n'));
        socket.write(`${'1\r\na\r\n'.repeat(PIECES)}0\r\n\r\n`);
      };
      const before = process.memoryUsage();
      let most = 0;
      const watch = setInterval(() => {
        const { heapUsed, arrayBuffers } = process.memoryUsage();
        most = Math.max(most, heapUsed + arrayBuffers - before.heapUsed - before.arrayBuffers);
      }, 5);
      const result = await send(new AbortController().signal, LONG_MILLISECONDS);
      clearInterval(watch);
      expect(result.kind === 'answered' && result.answer.bodyStart).toHaveLength(PIECES);
      expect(most).toBeLessThan(PIECES * MAXIMUM_BYTES_PER_PIECE);
    }, 30_000);
  });

  describe('an answer for which there is no room in memory', () => {
    it('is passed on whole while it arrives, and holds nothing', async () => {
      const body = 'x'.repeat(50_000);
      script = (socket, attempt) => {
        socket.write(head(attempt, `content-length: ${body.length}\r\n`));
        socket.write(body.slice(0, 30_000));
        setTimeout(() => socket.write(body.slice(30_000)), 50);
      };
      const memory = new MemoryBudget(20_000, clock, new Counters());
      useClock(clock, memory);
      const { result, bytes, isWhole } = await deliver();
      const start = result.kind === 'answered' ? result.answer.bodyStart.length : 0;
      expect(isWhole).toBe(true);
      expect(bytes).toBeGreaterThan(0);
      expect(start + bytes).toBe(body.length);
      expect(memory.heldBytes).toBe(0);
    });

    it('that breaks off holds nothing', async () => {
      script = (socket, attempt) => {
        socket.write(`${head(attempt, 'content-length: 9000\r\n')}start`);
        setTimeout(() => socket.destroy(), 50);
      };
      const memory = new MemoryBudget(20_000, clock, new Counters());
      useClock(clock, memory);
      const ending = send();
      await systemClock.sleep(30);
      expect(memory.heldBytes).toBe('start'.length);
      expect((await ending).kind).toBe('broken');
      expect(memory.heldBytes).toBe(0);
    });
  });

  describe('a large answer', () => {
    it('is passed on whole', async () => {
      script = (socket, attempt) => {
        socket.write(head(attempt, `content-length: ${CHUNK.length * 40}\r\n`));
        socket.write(CHUNK.repeat(40));
      };
      const { result, bytes, isWhole } = await deliver();
      const start = result.kind === 'answered' ? result.answer.bodyStart.length : 0;
      expect(isWhole).toBe(true);
      expect(start + bytes).toBe(CHUNK.length * 40);
    });

    it('without a length that is reset is not passed on as whole', async () => {
      let peer: Socket | undefined;
      script = (socket, attempt) => {
        peer = socket;
        socket.write(head(attempt, '') + CHUNK.repeat(20));
      };
      const result = await send(new AbortController().signal, LONG_MILLISECONDS);
      const bodyRest = result.kind === 'answered' ? result.answer.bodyRest : undefined;
      const reading = readRest(bodyRest!);
      // Before its first part is passed on, a reset leaves nothing to pass on.
      peer?.resetAndDestroy();
      const { isWhole, error } = await reading;
      expect(isWhole).toBe(false);
      expect(error instanceof AnswerCutError && error.isTargetFailure).toBe(true);
    });

    it('that has arrived whole is still delivered after the deadline', async () => {
      // What is left after the buffered part is small enough to have arrived without a reader.
      const body = CHUNK.repeat(16) + 'x'.repeat(2_000);
      script = (socket, attempt) => {
        socket.write(head(attempt, `content-length: ${body.length}\r\n`));
        socket.write(body);
      };
      const result = await send();
      const bodyRest = result.kind === 'answered' ? result.answer.bodyRest : undefined;
      expect(bodyRest).toBeDefined();
      await systemClock.sleep(DEADLINE_MILLISECONDS + 50);
      expect((await readRest(bodyRest!)).isWhole).toBe(true);
    });
  });

  describe('a late second copy on a reused connection', () => {
    /** The first request is answered, the second gets only a late copy with these header lines. */
    function answerLate(copy: (first: string) => string): Script {
      let first: string | undefined;
      return (socket, attempt) => {
        if (first === undefined) socket.write(`${head(attempt, 'content-length: 2\r\n')}ok`);
        else socket.write(copy(first));
        first ??= attempt;
      };
    }

    const copies: Readonly<Record<string, (first: string) => string>> = {
      'of an answer': (first) => `${head(first, 'content-length: 2\r\n')}ok`,
      'of a failure': (first) => head(first, 'content-length: 0\r\n', '500 Failed'),
      'of a failure without identifier': () => 'HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n',
      'of a refusal': (first) =>
        head(first, 'X-Not-Run: 1\r\ncontent-length: 0\r\n', '503 Unavailable'),
      'of a refusal without identifier': () =>
        'HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\ncontent-length: 0\r\n\r\n',
      'of a misdirected request': (first) =>
        head(first, 'content-length: 0\r\n', '421 Misdirected'),
    };

    Object.entries(copies).forEach(([name, copy]) => {
      it(`${name} is not the answer to the next request, which may have run`, async () => {
        script = answerLate(copy);
        expect((await send()).kind).toBe('answered');
        await systemClock.sleep(10);
        expect((await send()).kind).toBe('broken');
        expect(server.sockets).toHaveLength(1);
      });
    });
  });
});
