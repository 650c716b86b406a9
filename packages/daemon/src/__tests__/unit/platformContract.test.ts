import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { Stop } from '@cactusrun/core';
import { ManualClock, systemClock } from '@cactusrun/core';
import type { PlatformLog } from '@cactusrun/platform';
import { HttpPlatform, PlatformError } from '@cactusrun/platform';
import { StandInPlatform } from '@cactusrun/stand-ins';
import FakeLog from './FakeLog.js';

const ADDRESS = '127.0.77.5:18085';
const CLOSED_ADDRESS = '127.0.77.5:18086';

/** A log to test against the contract, and the faults that can be injected into it. */
interface Subject {
  readonly log: PlatformLog;
  readonly setDown: (isDown: boolean) => void;
  readonly setLosesReplies: (loses: boolean) => void;
  readonly dropAll: () => void;
  readonly stop: Stop;
  /** Advances a manual clock, if there is one, until the promise settles. */
  readonly settle: <Value>(promise: Promise<Value>) => Promise<Value>;
}

async function overHttp(): Promise<Subject> {
  const standIn = new StandInPlatform({
    address: ADDRESS,
    clock: systemClock,
    retentionMilliseconds: 3_600_000,
    appendsPerSecond: 20,
  });
  const stopServer = await standIn.start();
  const platform = new HttpPlatform(ADDRESS);
  return {
    log: platform,
    setDown: (isDown) => Object.assign(standIn.faults, { isDown }),
    setLosesReplies: (losesAppendReplies) => Object.assign(standIn.faults, { losesAppendReplies }),
    dropAll: () => standIn.dropAll(),
    stop: async () => {
      await platform.close();
      await stopServer();
    },
    settle: (promise) => promise,
  };
}

async function inMemory(): Promise<Subject> {
  const clock = new ManualClock();
  const fake = new FakeLog(clock);
  return {
    log: fake.connectFrom('host'),
    setDown: (isDown) => Object.assign(fake, { isDown }),
    setLosesReplies: (losesReplies) => Object.assign(fake, { losesReplies }),
    dropAll: () => fake.dropAll(),
    stop: async () => {},
    settle: async (promise) => {
      const state = { isSettled: false };
      const note = () => Object.assign(state, { isSettled: true });
      promise.then(note, note);
      while (!state.isSettled) {
        // eslint-disable-next-line no-await-in-loop
        await clock.advance(50);
      }
      return promise;
    },
  };
}

describe.each([
  ['over HTTP', overHttp],
  ['in memory', inMemory],
])("the platform's log, %s", (_, create) => {
  let subject: Subject;

  beforeEach(async () => {
    subject = await create();
  });

  afterEach(() => subject.stop());

  const append = (data: string) => subject.settle(subject.log.append(data));
  const read = (from: number, wait = 0) => subject.settle(subject.log.read(from, wait));

  it('assigns offsets in order without gaps', async () => {
    expect([await append('a'), await append('b'), await append('c')]).toEqual([0, 1, 2]);
    const page = await read(1);
    expect(page.entries.map(({ offset, data }) => [offset, data])).toEqual([
      [1, 'b'],
      [2, 'c'],
    ]);
    expect([page.firstOffset, page.nextOffset]).toEqual([0, 3]);
  });

  it('returns no entries for a read of an empty log', async () => {
    expect(await read(0)).toEqual({ firstOffset: 0, nextOffset: 0, entries: [] });
  });

  it('ends a waiting read when a record is appended', async () => {
    const waiting = subject.settle(subject.log.read(0, 5_000));
    const appended = subject.log.append('late');
    expect((await waiting).entries.map(({ data }) => data)).toEqual(['late']);
    await appended;
  });

  it('continues the offsets after retention dropped the records', async () => {
    await append('a');
    subject.dropAll();
    expect(await read(0)).toMatchObject({ firstOffset: 1, nextOffset: 1, entries: [] });
    expect(await append('b')).toBe(1);
  });

  it('rejects calls while it is down, and works afterwards', async () => {
    subject.setDown(true);
    await expect(append('a')).rejects.toBeInstanceOf(PlatformError);
    await expect(read(0)).rejects.toBeInstanceOf(PlatformError);
    subject.setDown(false);
    expect(await append('a')).toBe(0);
  });

  it('reports an append with a lost reply as in doubt, although it took effect', async () => {
    subject.setLosesReplies(true);
    await expect(append('a')).rejects.toMatchObject({ failure: 'in-doubt' });
    subject.setLosesReplies(false);
    expect((await read(0)).entries).toHaveLength(1);
  });
});

describe('the platform over HTTP', () => {
  it('reports an append without a connection as refused', async () => {
    const platform = new HttpPlatform(CLOSED_ADDRESS);
    await expect(platform.append('a')).rejects.toMatchObject({ failure: 'refused' });
    await platform.close();
  });

  it('reads a host list with a lag', async () => {
    const clock = new ManualClock();
    const options = { address: ADDRESS, clock, retentionMilliseconds: 1_000, appendsPerSecond: 1 };
    const standIn = new StandInPlatform(options);
    const stopServer = await standIn.start();
    const platform = new HttpPlatform(ADDRESS);
    const host = {
      name: 'a',
      kind: 'upstream',
      address: '127.0.1.1:9000',
      state: 'leaving',
    } as const;
    standIn.faults.hostListLagMilliseconds = 500;
    standIn.setHosts([host]);
    const list = async () => {
      const listing = platform.list();
      const advancing = setInterval(() => clock.advance(0), 5);
      return listing.finally(() => clearInterval(advancing));
    };
    expect(await list()).toEqual([]);
    await clock.advance(500);
    expect(await list()).toEqual([host]);
    await platform.close();
    await stopServer();
  });

  it('reports appends over the rate limit as refused', async () => {
    const subject = await overHttp();
    const results = await Promise.allSettled(
      Array.from({ length: 30 }, (_, index) => subject.log.append(`r${index}`)),
    );
    const refused = results.filter(({ status }) => status === 'rejected');
    expect(refused.length).toBeGreaterThan(0);
    refused.forEach((result) =>
      expect((result as PromiseRejectedResult).reason).toMatchObject({ failure: 'refused' }),
    );
    const { nextOffset } = await subject.log.read(0, 0);
    expect(nextOffset).toBe(results.length - refused.length);
    await subject.stop();
  });
});
