/** Guards against requests that a stopping daemon takes late, and cuts at the end of its grace time. */
import type { LogFields } from '@cactusrun/core';
import { Counters, createRandom, ManualClock, silentLogger, systemClock } from '@cactusrun/core';
import { RawCaller } from '@cactusrun/stand-ins';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { CallerExchange, CallerOutcome } from '../../callers/CallerExchange.js';
import { refuse } from '../../callers/CallerExchange.js';
import CallerServer from '../../callers/CallerServer.js';
import shutDownGracefully from '../../callers/shutDownGracefully.js';
import createTargetAnswer from './createTargetAnswer.js';

const HOST = '127.0.8.1';
const PORT = 18_553;
const STOP_TIMES = { servingMilliseconds: 2_400, totalMilliseconds: 5_200 };
/** More than half of a grace time of 6 s. */
const LATE_MILLISECONDS = 3_100;
const CUT_REQUESTS = 60;
/** Time in which the last callers are told. */
const LAST_ANSWERS_MILLISECONDS = 100;
const LIMITS = {
  headerBytes: 4_000,
  bodyBytes: 100_000,
  headerMilliseconds: 3_000,
  idleMilliseconds: 60_000,
};

interface Executed {
  readonly exchange: CallerExchange;
  readonly answer: () => void;
}

describe('A planned stop', () => {
  let clock: ManualClock;
  let server: CallerServer;
  let counters: Counters;
  let lines: { readonly event: string; readonly fields: LogFields | undefined }[];
  let executed: Executed[];
  /** Whether requests are passed on as soon as they are executed, or wait. */
  let passesOn: boolean;
  let callers: RawCaller[];
  let stopped: Promise<void> | undefined;

  beforeEach(async () => {
    clock = new ManualClock();
    counters = new Counters();
    lines = [];
    executed = [];
    passesOn = true;
    callers = [];
    stopped = undefined;
    server = createServer(false);
    await server.start();
  });

  afterEach(async () => {
    callers.forEach((caller) => caller.close());
    await stopped;
    server.closeNow();
  });

  function createServer(isForPeers: boolean): CallerServer {
    return new CallerServer({
      isForPeers,
      address: `${HOST}:${PORT}`,
      names: { attemptId: 'X-Attempt', deadline: 'X-Deadline', reserved: new Set(['x-attempt']) },
      clock,
      logger: silentLogger,
      random: createRandom(1),
      counters,
      limits: () => LIMITS,
      canOverlap: ({ method }) => method === 'GET',
      handle: (exchange) => execute(exchange),
    });
  }

  function execute(exchange: CallerExchange): Promise<CallerOutcome> {
    if (passesOn && !exchange.passOn()) return Promise.resolve(refuse('stopping'));
    return new Promise((resolve) => {
      const bodyStart = Buffer.from(`body of ${exchange.id}.`);
      exchange.signal.addEventListener('abort', () => resolve({ kind: 'cancelled' }));
      executed.push({
        exchange,
        answer: () => resolve({ kind: 'answered', answer: createTargetAnswer({ bodyStart }) }),
      });
    });
  }

  /** Gives what must not happen time to happen. */
  const settle = () => systemClock.sleep(40);
  const until = (condition: () => boolean) =>
    vi.waitFor(() => expect(condition()).toBe(true), { timeout: 10_000 });
  const executedIds = () => executed.map(({ exchange }) => exchange.id);
  const answer = (id: string) => executed.find(({ exchange }) => exchange.id === id)?.answer();

  async function open(): Promise<RawCaller> {
    const caller = await RawCaller.open(`${HOST}:${PORT}`);
    callers.push(caller);
    return caller;
  }

  /** A request that must run once. */
  function post(id: string, body = 'x'): string {
    const length = `content-length: ${body.length}\r\n`;
    return `POST /a HTTP/1.1\r\nhost: h\r\nX-Attempt: ${id}\r\n${length}\r\n${body}`;
  }

  /** Opens a connection and leaves it idle after one answer. */
  async function openKept(): Promise<RawCaller> {
    const connection = await openAtWork('before');
    answer('before');
    await until(() => connection.received.includes('body of before.'));
    await until(() => server.requestsInFlight === 0);
    return connection;
  }

  /** Sends a request that its target works on until it is answered. */
  async function openAtWork(id: string): Promise<RawCaller> {
    const connection = await open();
    connection.write(post(id));
    await until(() => executedIds().includes(id));
    return connection;
  }

  function stop(): void {
    const record = (event: string, fields?: LogFields) => {
      lines.push({ event, fields });
    };
    const logger = { info: record, warn: record };
    stopped = shutDownGracefully(server, { clock, logger, stopTimes: STOP_TIMES });
  }

  function expectRefusal(text: string): void {
    expect(text).toContain('HTTP/1.1 503');
    expect(text).toContain('"reason":"stopping"');
    expect(text).toContain('"notRun":true');
    expect(text).toMatch(/retry-after: 0\.[0-3]\d/);
    expect(text).toMatch(/connection: close/i);
  }

  describe('during the serving time', () => {
    it('serves requests of kept connections, and closes these with the answer', async () => {
      const kept = await openKept();
      stop();
      await clock.advance(STOP_TIMES.servingMilliseconds - 1);
      kept.write(post('early'));
      await until(() => executedIds().includes('early'));
      answer('early');
      await until(() => kept.hasEnded);
      expect(kept.received).toContain('body of early.');
      expect(kept.received).toMatch(/connection: close/i);
      await clock.advance(1);
    });
  });

  describe('of a process that was suspended, so that its timers are late', () => {
    it('passes nothing on that it reads before its timers run', async () => {
      const kept = await openKept();
      stop();
      await settle();
      clock.pause(LATE_MILLISECONDS);
      kept.write(post('late'));
      await until(() => kept.hasEnded);
      expectRefusal(kept.received.slice(kept.received.indexOf('body of before.')));
      await clock.advance(0);
    });

    it('gives up what is left at the end of its time, counted from the signal', async () => {
      const busy = await openAtWork('long');
      stop();
      await settle();
      clock.pause(LATE_MILLISECONDS);
      await clock.advance(STOP_TIMES.totalMilliseconds - LATE_MILLISECONDS);
      await until(() => busy.received !== '');
      expect(busy.received).toMatch(/^HTTP\/1.1 502 /);
      await clock.advance(LAST_ANSWERS_MILLISECONDS);
    });
  });

  describe('after the serving time', () => {
    it('passes no request of a kept connection on, which it would cut at its target', async () => {
      const kept = await openKept();
      const busy = await openAtWork('long');
      stop();
      await clock.advance(LATE_MILLISECONDS);
      kept.write(post('late'));
      await until(() => kept.hasEnded);
      expect(executedIds()).not.toContain('late');
      expectRefusal(kept.received.slice(kept.received.indexOf('body of before.')));
      expect(await counters.render()).toMatch(/refusals.*stopping.* 1/);
      answer('long');
      await stopped;
      await until(() => busy.received.includes('body of long.'));
    });

    it('refuses a request whose body was half read at its beginning', async () => {
      await openAtWork('long');
      const slow = await open();
      const text = post('slow', 'x'.repeat(100));
      slow.write(text.slice(0, -50));
      await until(() => server.requestsInFlight === 2);
      stop();
      await clock.advance(LATE_MILLISECONDS);
      slow.write(text.slice(-50));
      await until(() => slow.hasEnded);
      expect(executedIds()).not.toContain('slow');
      expectRefusal(slow.received);
    });

    it('refuses each request that waits behind another one, in its turn', async () => {
      const connection = await open();
      connection.write(post('first') + post('second'));
      await until(() => server.requestsInFlight === 2);
      stop();
      await clock.advance(LATE_MILLISECONDS);
      connection.write(post('third'));
      await until(() => server.requestsInFlight === 3);
      await settle();
      expect(connection.received).toBe('');
      answer('first');
      await until(() => connection.hasEnded);
      expect(executedIds()).toEqual(['first']);
      const [first, second, third] = connection.received.split(/(?=HTTP\/1\.1)/);
      expect(first).toContain('body of first.');
      expect(second).toContain('"reason":"stopping"');
      expectRefusal(third ?? '');
    });

    it('refuses a request that is queued and has not been passed on', async () => {
      passesOn = false;
      const connection = await openAtWork('queued');
      stop();
      await clock.advance(STOP_TIMES.servingMilliseconds);
      await stopped;
      await until(() => connection.hasEnded);
      expectRefusal(connection.received);
      expect(executed[0]?.exchange.passOn()).toBe(false);
    });

    it('tells a peer that it refuses a relayed request', async () => {
      server.closeNow();
      server = createServer(true);
      await server.start();
      const kept = await openKept();
      await openAtWork('long');
      stop();
      await clock.advance(LATE_MILLISECONDS);
      kept.write(post('late'));
      await until(() => kept.hasEnded);
      expect(executedIds()).not.toContain('late');
      expect(kept.received).toContain('cactusrun-refusal: stopping');
    });

    it('lets a request that its target works on end, and closes idle connections then', async () => {
      const kept = await openKept();
      const busy = await openAtWork('long');
      stop();
      await clock.advance(LATE_MILLISECONDS);
      await settle();
      expect(kept.ending).toBe('open');
      answer('long');
      await stopped;
      await until(() => kept.hasEnded && busy.hasEnded);
      expect(busy.received).toContain('body of long.');
      expect(lines.map(({ event }) => event)).toEqual(['leaving-done']);
    });
  });

  describe('at the end of its time', () => {
    it('tells the caller of a request that its target works on that it may have run', async () => {
      const busy = await openAtWork('long');
      stop();
      await clock.advance(STOP_TIMES.totalMilliseconds);
      await until(() => busy.received !== '');
      await clock.advance(LAST_ANSWERS_MILLISECONDS);
      await stopped;
      await until(() => busy.hasEnded);
      expect(busy.received).toMatch(/^HTTP\/1.1 502 /);
      expect(busy.received).toContain('"reason":"stopped"');
      expect(busy.received).toContain('"notRun":false');
      expect(busy.ending).toBe('ended');
    });

    it('logs each request that it cuts, with its age and whether a target works on it', async () => {
      await openAtWork('long');
      const slow = await open();
      slow.write(post('slow', 'x'.repeat(100)).slice(0, -50));
      await until(() => server.requestsInFlight === 2);
      stop();
      await clock.advance(STOP_TIMES.totalMilliseconds);
      await clock.advance(LAST_ANSWERS_MILLISECONDS);
      await stopped;
      const milliseconds = STOP_TIMES.totalMilliseconds;
      const reason = 'stopped';
      expect(lines).toEqual([
        {
          event: 'request-cut',
          fields: { request: 'long', reason, stage: 'at-target', milliseconds },
        },
        {
          event: 'request-cut',
          fields: { request: 'slow', reason, stage: 'reading', milliseconds },
        },
        { event: 'leaving-done', fields: { requestsCut: 2, milliseconds } },
      ]);
    });

    it('logs a bounded number of them, and counts all', async () => {
      const all = await Promise.all(Array.from({ length: CUT_REQUESTS }, () => open()));
      all.forEach((caller, index) => caller.write(post(`r${index}`)));
      await until(() => server.requestsInFlight === CUT_REQUESTS);
      await until(() => executed.length === CUT_REQUESTS);
      stop();
      await clock.advance(STOP_TIMES.totalMilliseconds);
      await clock.advance(LAST_ANSWERS_MILLISECONDS);
      await stopped;
      const cut = lines.filter(({ event }) => event === 'request-cut');
      expect(cut.length).toBeGreaterThan(0);
      expect(cut.length).toBeLessThan(CUT_REQUESTS);
      expect(lines.at(-1)?.fields).toMatchObject({ requestsCut: CUT_REQUESTS });
    });
  });
});
