import { Counters, createRandom, ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import MemoryBudget, { SMALL_BODY_BYTES } from '../../memory/MemoryBudget.js';

const MEGABYTE = 1_048_576;
const LIMIT_BYTES = 8 * MEGABYTE;
/** What large bodies may use of it. */
const LARGE_LIMIT_BYTES = 7 * MEGABYTE;
const WAIT_MILLISECONDS = 1_000;

describe('MemoryBudget', () => {
  let budget: MemoryBudget;
  let clock: ManualClock;
  let admitted: string[];
  let refused: string[];

  beforeEach(() => {
    clock = new ManualClock();
    budget = new MemoryBudget(LIMIT_BYTES, clock, new Counters());
    admitted = [];
    refused = [];
  });

  /** Waits for room under a name. */
  function wait(name: string, bytes: number, signal = new AbortController().signal): void {
    budget
      .awaitRoom(bytes, WAIT_MILLISECONDS, signal)
      .then((isHeld) => (isHeld ? admitted : refused).push(name))
      .catch(() => {});
  }

  function holdLarge(bytes: number): boolean {
    return budget.tryHold(bytes, bytes);
  }

  describe('large bodies', () => {
    it('get no more than the budget together', () => {
      expect(holdLarge(4 * MEGABYTE)).toBe(true);
      expect(holdLarge(4 * MEGABYTE)).toBe(false);
      expect(holdLarge(3 * MEGABYTE)).toBe(true);
      expect(budget.heldBytes).toBe(LARGE_LIMIT_BYTES);
    });

    it('leave room for small ones', () => {
      holdLarge(LARGE_LIMIT_BYTES);
      const fitting = MEGABYTE / SMALL_BODY_BYTES;
      const results = Array.from({ length: fitting + 1 }, () =>
        budget.tryHold(SMALL_BODY_BYTES, SMALL_BODY_BYTES),
      );
      expect(results.filter(Boolean)).toHaveLength(fitting);
      expect(results.at(-1)).toBe(false);
    });

    it('give way to answers that callers do not read, which small bodies do not', () => {
      budget.holdAnswer(7 * MEGABYTE);
      expect(holdLarge(MEGABYTE)).toBe(false);
      budget.holdAnswer(7 * MEGABYTE);
      expect(budget.tryHold(SMALL_BODY_BYTES, SMALL_BODY_BYTES)).toBe(true);
      budget.releaseAnswer(14 * MEGABYTE);
      expect(budget.heldBytes).toBe(SMALL_BODY_BYTES);
    });
  });

  describe('bodies that wait', () => {
    beforeEach(() => {
      holdLarge(LARGE_LIMIT_BYTES);
    });

    it('are admitted in the order of arrival, and none before a larger one ahead of it', async () => {
      wait('first', 4 * MEGABYTE);
      wait('second', MEGABYTE);
      budget.release(2 * MEGABYTE);
      await clock.advance(1);
      expect(admitted).toEqual([]);
      expect(budget.tryHoldInTurn(MEGABYTE)).toBe(false);
      budget.release(3 * MEGABYTE);
      await clock.advance(1);
      expect(admitted).toEqual(['first', 'second']);
      expect(budget.heldBytes).toBe(LARGE_LIMIT_BYTES);
    });

    it('give up after their time, and let those behind them pass', async () => {
      wait('first', 7 * MEGABYTE);
      await clock.advance(WAIT_MILLISECONDS / 2);
      budget.release(MEGABYTE);
      budget.awaitRoom(0.5 * MEGABYTE, 1, new AbortController().signal).catch(() => {});
      await clock.advance(WAIT_MILLISECONDS / 2);
      expect(refused).toEqual(['first']);
      expect(budget.tryHoldInTurn(MEGABYTE)).toBe(true);
    });

    it('are forgotten when their callers disconnect', async () => {
      const controller = new AbortController();
      wait('gone', 6 * MEGABYTE, controller.signal);
      wait('next', MEGABYTE);
      budget.release(MEGABYTE);
      controller.abort();
      await clock.advance(1);
      expect(refused).toEqual(['gone']);
      expect(admitted).toEqual(['next']);
    });

    it('are refused at once when those ahead of them use the whole budget', async () => {
      wait('first', 5 * MEGABYTE);
      wait('second', 3 * MEGABYTE);
      wait('too large at all', 8 * MEGABYTE);
      await clock.advance(1);
      expect(refused).toEqual(['second', 'too large at all']);
    });
  });

  it('holds nothing in the end, and never too much, whatever order bodies come and go in', async () => {
    const random = createRandom(20261205);
    const held: number[] = [];
    await Array.from({ length: 2_000 }).reduce<Promise<void>>(async (before) => {
      await before;
      const bytes = Math.ceil(random.unit() * 3 * MEGABYTE);
      const controller = new AbortController();
      budget
        .awaitRoom(bytes, random.unit() * 100, controller.signal)
        .then((isHeld) => (isHeld ? held.push(bytes) : 0))
        .catch(() => {});
      if (random.unit() < 0.2) controller.abort();
      if (random.unit() < 0.6) budget.release(held.shift() ?? 0);
      await clock.advance(random.unit() * 20);
      expect(budget.heldBytes).toBe(held.reduce((sum, size) => sum + size, 0));
      expect(budget.heldBytes).toBeLessThanOrEqual(LARGE_LIMIT_BYTES);
    }, Promise.resolve());
    await clock.advance(WAIT_MILLISECONDS);
    held.forEach((bytes) => budget.release(bytes));
    expect(budget.heldBytes).toBe(0);
  });
});
