import { Counters, ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import type { BodyRoom } from '../../memory/BodyRoom.js';
import BodyRooms from '../../memory/BodyRooms.js';
import MemoryBudget from '../../memory/MemoryBudget.js';

const MEGABYTE = 1_048_576;
const LARGE_LIMIT_BYTES = 7 * MEGABYTE;

describe('BodyRooms', () => {
  let budget: MemoryBudget;
  let rooms: BodyRooms;
  let counters: Counters;
  let gaveWay: string[];

  beforeEach(() => {
    counters = new Counters();
    budget = new MemoryBudget(8 * MEGABYTE, new ManualClock(), counters);
    rooms = new BodyRooms(budget, counters);
    gaveWay = [];
  });

  async function reserve(name: string, statedBytes?: number): Promise<BodyRoom | undefined> {
    return rooms.reserve({
      statedBytes,
      waitMilliseconds: 0,
      signal: new AbortController().signal,
      onGiveWay: () => gaveWay.push(name),
    });
  }

  describe('a body of a stated length', () => {
    it('has all of its room before it is read, until it is released once', async () => {
      const room = await reserve('body', 3 * MEGABYTE);
      expect(budget.heldBytes).toBe(3 * MEGABYTE);
      room?.release();
      room?.release();
      expect(budget.heldBytes).toBe(0);
    });

    it('that is empty needs no room', async () => {
      budget.holdAnswer(20 * MEGABYTE);
      expect(await reserve('empty', 0)).toBeDefined();
    });

    it('gets none, and is counted, when there is none', async () => {
      await reserve('first', LARGE_LIMIT_BYTES);
      expect(await reserve('second', 8 * MEGABYTE)).toBeUndefined();
      expect(counters.valueOf('body_rooms', 'none')).toBe(1);
    });
  });

  describe('bodies without a stated length', () => {
    it('give way to older ones, the newest first, so that the oldest arrives', async () => {
      const names = ['first', 'second', 'third'];
      const [first, second, third] = await Promise.all(names.map((name) => reserve(name)));
      [first, second, third].forEach((room) => expect(room?.take(MEGABYTE)).toBe(true));
      expect(first?.take(MEGABYTE)).toBe(true);
      expect(gaveWay).toEqual(['third']);
      expect(first?.take(1.5 * MEGABYTE)).toBe(true);
      expect(gaveWay).toEqual(['third', 'second']);
      first?.complete();
      expect(budget.heldBytes).toBe(3.5 * MEGABYTE);
      expect(counters.valueOf('body_rooms', 'gave-way')).toBe(2);
    });

    it('that are the newest get no more room than there is', async () => {
      const [first, second] = await Promise.all([reserve('first'), reserve('second')]);
      first?.take(2 * MEGABYTE);
      expect(second?.take(2 * MEGABYTE)).toBe(false);
      second?.release();
      first?.release();
      expect(budget.heldBytes).toBe(0);
    });

    it('do not give way once they have arrived', async () => {
      const [first, second] = await Promise.all([reserve('first'), reserve('second')]);
      second?.take(3 * MEGABYTE);
      second?.complete();
      expect(first?.take(3 * MEGABYTE)).toBe(false);
      expect(gaveWay).toEqual([]);
      second?.release();
      expect(first?.take(3 * MEGABYTE)).toBe(true);
    });
  });
});
