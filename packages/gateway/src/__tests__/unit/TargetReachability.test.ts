import type { Socket } from 'node:net';
import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import type TargetReachability from '../../reachability/TargetReachability.js';
import createReachability, {
  connectAtOnce,
  connectNever,
  refuseAtOnce,
} from './createReachability.js';
import createTargetEntry from './createTargetEntry.js';

const SERVICES: readonly string[] = ['a', 'b', 'c'];
const ZONES: readonly string[] = ['near', 'far'];
/** Time in which a doubt has led to a verdict. */
const VERDICT_MILLISECONDS = 450;

describe('TargetReachability', () => {
  const targets = SERVICES.flatMap((service) =>
    ZONES.flatMap((zone) =>
      ['1', '2'].map((number) => {
        const id = `${service}-${zone}-${number}`;
        return createTargetEntry(id, { service, zone, address: `${id}:1` });
      }),
    ),
  );

  let clock: ManualClock;
  let reachability: TargetReachability;
  /** How a connection to each target ends. */
  let open: (host: string) => Socket;
  let opened: string[];
  let applied: string[];
  let isEntry: boolean;

  beforeEach(() => {
    clock = new ManualClock();
    open = connectAtOnce;
    opened = [];
    applied = [];
    isEntry = false;
    reachability = createReachability(clock, {
      targets: { list: () => targets },
      openConnection: (host) => {
        opened.push(host);
        return open(host);
      },
      isEntry: () => isEntry,
    });
  });

  function failConnection(name = 'connection'): void {
    reachability.confirmFailure('connection', () => applied.push(name));
  }

  function failRequest(name = 'request'): void {
    reachability.confirmFailure('answer', () => applied.push(name));
  }

  describe('a check that fails', () => {
    it('does not keep the daemon from finding later that it is cut off', async () => {
      let isFailing = true;
      const list = () => {
        if (isFailing) throw new Error('unusable entry');
        return targets;
      };
      reachability = createReachability(clock, {
        targets: { list },
        openConnection: refuseAtOnce,
        isEntry: () => true,
      });
      const stop = reachability.start();
      await clock.advance(0);
      isFailing = false;
      failRequest();
      await clock.advance(5_000);
      expect(reachability.isCutOff).toBe(true);
      await stop();
    });
  });

  describe.each([
    ['hang', connectNever],
    ['are refused', refuseAtOnce],
  ])('when all connections %s', (_name, openConnection) => {
    beforeEach(() => {
      open = openConnection;
    });

    it('finds after a failure that the daemon is cut off', async () => {
      failConnection();
      await clock.advance(VERDICT_MILLISECONDS);
      expect(reachability.isCutOff).toBe(true);
    });

    it('finds it when no target was heard for the time of an attempt', async () => {
      reachability.checkUnlessHeardSince(clock.now());
      await clock.advance(VERDICT_MILLISECONDS);
      expect(reachability.isCutOff).toBe(true);
    });

    it('drops the failures that were observed meanwhile', async () => {
      failConnection();
      failRequest();
      await clock.advance(VERDICT_MILLISECONDS);
      open = connectAtOnce;
      reachability.recordContact('connection');
      expect(applied).toEqual([]);
    });

    it('tells each change once, and finds in intervals that targets are reached again', async () => {
      const changes: boolean[] = [];
      reachability.subscribe((isCutOff) => changes.push(isCutOff));
      const stop = reachability.start();
      failConnection();
      failConnection();
      await clock.advance(2_000);
      expect(changes).toEqual([true]);
      open = connectAtOnce;
      await clock.advance(700);
      expect(changes).toEqual([true, false]);
      const count = opened.length;
      await clock.advance(5_000);
      expect(opened).toHaveLength(count);
      const stopped = stop();
      await clock.advance(1_000);
      await stopped;
    });
  });

  describe('when a part of the targets is unreachable', () => {
    it.each([
      ['a service', (host: string) => host.startsWith('a-')],
      ['an availability zone', (host: string) => host.includes('near')],
    ])('does not take %s for all', async (_name, isDown) => {
      open = (host) => (isDown(host) ? refuseAtOnce() : connectAtOnce());
      await Array.from({ length: 20 }).reduce<Promise<void>>(async (before) => {
        await before;
        failConnection();
        await clock.advance(600);
        expect(reachability.isCutOff).toBe(false);
      }, Promise.resolve());
      expect(applied).toHaveLength(20);
    });
  });

  describe('a failure', () => {
    it('counts once a target answers', () => {
      failRequest();
      expect(applied).toEqual([]);
      reachability.recordContact('answer');
      expect(applied).toEqual(['request']);
    });

    it('to connect counts only once a connection is established: open ones may live on', () => {
      failConnection();
      reachability.recordContact('answer');
      expect(applied).toEqual([]);
      reachability.recordContact('connection');
      expect(applied).toEqual(['connection']);
    });

    it('opens no connection when a target is heard soon after it', async () => {
      failRequest();
      await clock.advance(50);
      reachability.recordContact('answer');
      await clock.advance(1_000);
      expect(opened).toEqual([]);
    });

    it('of many at once opens one connection', async () => {
      Array.from({ length: 50 }).forEach(() => failRequest());
      await clock.advance(1_000);
      expect(opened).toHaveLength(1);
      expect(applied).toHaveLength(50);
    });
  });

  describe('a daemon that callers begin to be directed to', () => {
    it('checks once whether it reaches targets', async () => {
      open = connectNever;
      const stop = reachability.start();
      await clock.advance(1_000);
      expect(opened).toEqual([]);
      isEntry = true;
      await clock.advance(1_000);
      expect(reachability.isCutOff).toBe(true);
      const stopped = stop();
      await clock.advance(1_000);
      await stopped;
    });
  });
});
