/** Guards against requests that a stopping daemon takes late, and cuts at the end of its grace time. */
import { PassThrough, Readable } from 'node:stream';
import { Counters, ManualClock, silentLogger, systemClock } from '@cactusrun/core';
import { RawCaller } from '@cactusrun/stand-ins';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import type { CallerAnswer, CallerRequest } from '../../CallerRequest.js';
import type CallerDirectory from '../../CallerDirectory.js';
import EntryServer from '../../EntryServer.js';
import shutDownGracefully from '../../shutDownGracefully.js';
import StopGate from '../../StopGate.js';
import type { CallerResult } from './FakeFleet.js';
import FakeFleet from './FakeFleet.js';

const HOST = '127.0.77.12';
const PORT = 18_081;
const STOP_TIMES = { servingMilliseconds: 2_400, totalMilliseconds: 5_200 };
/** More than half of a grace time of 6 s. */
const LATE_MILLISECONDS = 3_100;
const LAST_ANSWERS_MILLISECONDS = 100;

interface Executed {
  readonly path: string;
  readonly answer: (body: Readable) => void;
}

describe('A planned stop of a daemon', () => {
  let clock: ManualClock;
  let server: EntryServer;
  let gate: StopGate;
  let executed: Executed[];
  let callers: RawCaller[];
  let requestsOfPeers: number;
  let stopped: Promise<void> | undefined;

  beforeEach(async () => {
    clock = new ManualClock();
    gate = new StopGate(clock);
    executed = [];
    callers = [];
    requestsOfPeers = 0;
    stopped = undefined;
    server = new EntryServer({
      address: `${HOST}:${PORT}`,
      zone: 'west-a',
      headerBytes: 8_192,
      bodyBytes: 100_000,
      clock,
      counters: new Counters(),
      directory: {} as CallerDirectory,
      gate,
      handle: (received) => execute(received),
      issueTicket: () => 'fresh',
      mayHaveRun: () => false,
    });
    await server.start();
  });

  afterEach(async () => {
    callers.forEach((caller) => caller.close());
    await clock.advance(STOP_TIMES.totalMilliseconds + LAST_ANSWERS_MILLISECONDS);
    await stopped;
    await server.closeConnections();
  });

  function execute({ path }: CallerRequest): Promise<CallerAnswer> {
    if (gate.isClosed) return Promise.resolve({ kind: 'refused', reason: 'stopping', detail: '' });
    return new Promise((resolve) => {
      const answer = (body: Readable) =>
        resolve({ kind: 'answered', status: 200, headers: [], body });
      executed.push({ path, answer });
    });
  }

  const until = (condition: () => boolean) =>
    vi.waitFor(() => expect(condition()).toBe(true), { timeout: 10_000 });
  const has = (path: string) => executed.some((one) => one.path === path);
  const answer = (path: string, body = Readable.from([`answer of ${path}.`])) =>
    executed.find((one) => one.path === path)?.answer(body);

  function request(path: string, version = '1.1'): string {
    return `GET ${path} HTTP/${version}\r\nHost: h\r\n\r\n`;
  }

  async function open(): Promise<RawCaller> {
    const caller = await RawCaller.open(`${HOST}:${PORT}`);
    callers.push(caller);
    return caller;
  }

  /** Sends a request that its target works on until it is answered. */
  async function openAtWork(path: string, version = '1.1'): Promise<RawCaller> {
    const connection = await open();
    connection.write(request(path, version));
    await until(() => has(path));
    return connection;
  }

  /** Opens a connection and leaves it idle after one answer. */
  async function openKept(): Promise<RawCaller> {
    const connection = await openAtWork('/before');
    answer('/before');
    await until(() => server.requestsInFlight === 0);
    return connection;
  }

  function stop(): void {
    stopped = shutDownGracefully({
      gate,
      entry: server,
      requestsOfPeers: () => requestsOfPeers,
      stopTimes: STOP_TIMES,
      clock,
      logger: silentLogger,
    });
  }

  describe('during the serving time', () => {
    it('serves requests of kept connections, closes these, and gives out no ticket', async () => {
      const kept = await openKept();
      stop();
      kept.write(request('/early'));
      await until(() => has('/early'));
      answer('/early');
      await until(() => kept.hasEnded);
      const text = kept.received.slice(kept.received.indexOf('answer of /before.'));
      expect(text).toContain('answer of /early.');
      expect(text).toMatch(/connection: close/i);
      expect(text).not.toMatch(/cactusrun-ticket/i);
    });

    it('closes a connection only with the last answer that is owed on it', async () => {
      const connection = await openAtWork('/first');
      connection.write(request('/second'));
      await until(() => has('/second'));
      stop();
      answer('/first');
      await until(() => connection.received.includes('answer of /first.'));
      answer('/second');
      await until(() => connection.hasEnded);
      expect(connection.received).toContain('answer of /second.');
    });
  });

  describe('behind an answer that closes its connection', () => {
    it('executes nothing, since its answer would be cut', async () => {
      const connection = await openAtWork('/first');
      connection.write(request('/last'));
      await until(() => has('/last'));
      stop();
      answer('/last');
      await systemClock.sleep(20);
      connection.write(request('/behind'));
      await systemClock.sleep(40);
      answer('/first');
      await until(() => connection.hasEnded);
      expect(connection.received).toContain('answer of /last.');
      expect(has('/behind')).toBe(false);
    });
  });

  describe('after the serving time', () => {
    it('passes no request of a kept connection on, which it would cut at its target', async () => {
      const kept = await openKept();
      const busy = await openAtWork('/long');
      stop();
      await clock.advance(LATE_MILLISECONDS);
      kept.write(request('/late'));
      await until(() => kept.hasEnded);
      expect(has('/late')).toBe(false);
      expect(kept.received).toMatch(/HTTP\/1.1 503 [^]*cactusrun-outcome: not-run/i);
      expect(kept.ending).toBe('ended');
      answer('/long');
      await until(() => busy.received.includes('answer of /long.'));
    });

    it('ends as soon as nothing is in flight, also of peers', async () => {
      requestsOfPeers = 1;
      stop();
      await clock.advance(LATE_MILLISECONDS);
      const afterwards = vi.fn();
      stopped?.then(afterwards);
      await clock.advance(100);
      expect(afterwards).not.toHaveBeenCalled();
      requestsOfPeers = 0;
      await clock.advance(100);
      await stopped;
    });
  });

  describe('at the end of its time', () => {
    it('tells the caller of a request that its target works on that it may have run', async () => {
      const busy = await openAtWork('/long');
      stop();
      await clock.advance(STOP_TIMES.totalMilliseconds);
      await until(() => busy.received !== '');
      await clock.advance(LAST_ANSWERS_MILLISECONDS);
      await stopped;
      await until(() => busy.hasEnded);
      expect(busy.received).toMatch(/^HTTP\/1.1 502 [^]*cactusrun-outcome: unknown/i);
      answer('/long');
      await systemClock.sleep(20);
    });

    it('does not wait for requests of connections that their callers have closed', async () => {
      const busy = await openAtWork('/first');
      busy.write(request('/behind'));
      await until(() => has('/behind'));
      busy.close();
      await until(() => server.requestsInFlight === 0);
    });

    it.each(['1.0', '1.1'])('resets an HTTP/%s answer that is not whole', async (version) => {
      const busy = await openAtWork('/long', version);
      const body = new PassThrough();
      body.write('half');
      answer('/long', body);
      await until(() => busy.received.includes('half'));
      stop();
      await clock.advance(STOP_TIMES.totalMilliseconds);
      await clock.advance(LAST_ANSWERS_MILLISECONDS);
      await stopped;
      await until(() => busy.hasEnded);
      expect(busy.ending).toBe('reset');
    });
  });
});

describe('A daemon that passes nothing on any more, as it stops', () => {
  const STOPPING = 0;
  const OTHER = 1;
  let fleet: FakeFleet;

  beforeEach(async () => {
    fleet = await FakeFleet.create(3, 7);
  });

  function send(ticket: string): Promise<CallerResult> {
    return fleet.settle(fleet.send({ node: STOPPING, kind: 'order', identity: 'a', ticket }));
  }

  it('refuses a lookup', async () => {
    fleet.nodes[STOPPING]!.gate.beginStop(0);
    const sending = fleet.send({ node: STOPPING, kind: 'lookup', identity: 'a' });
    expect(await fleet.settle(sending)).toMatchObject({ reason: 'stopping' });
  });

  it('refuses an order with a ticket of its own as not run', async () => {
    const ticket = fleet.issueTicket(STOPPING);
    fleet.nodes[STOPPING]!.gate.beginStop(0);
    expect(await send(ticket)).toMatchObject({ reason: 'stopping' });
  });

  it('still gives the answer of an order that has run', async () => {
    const ticket = fleet.issueTicket(STOPPING);
    const first = await send(ticket);
    fleet.nodes[STOPPING]!.gate.beginStop(0);
    expect(first.outcome).toBe('answered');
    expect(await send(ticket)).toEqual(first);
  });

  it('does not forward an order to the owner of its ticket, who may have run it', async () => {
    const ticket = fleet.issueTicket(OTHER);
    fleet.nodes[STOPPING]!.gate.beginStop(0);
    expect(await send(ticket)).toMatchObject({ reason: 'stopped' });
  });
});
