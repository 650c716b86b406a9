import { describe, expect, it } from 'vitest';
import { ManualClock } from '@cactusrun/core';
import OrderWindow, { shareOfDeposits } from '../../OrderWindow.js';

const WINDOW_MILLISECONDS = 60_000;

function createWindow(limit: number) {
  const clock = new ManualClock();
  return { clock, window: new OrderWindow(clock, WINDOW_MILLISECONDS, limit) };
}

describe('shareOfDeposits', () => {
  it.each([
    [10, [5, 5]],
    [10, [7, 8]],
    [1, [3, 3, 3]],
    [100, [1, 2, 3, 4]],
    [0, [2, 2]],
  ])('adds up to the contract: %i over %j', (total, sizes) => {
    const shares = sizes.map((_, index) => shareOfDeposits(total, sizes, index));
    expect(shares.reduce((sum, share) => sum + share, 0)).toBe(total);
  });
});

describe('OrderWindow', () => {
  it('starts no more than its share in a window, and as many in the next', () => {
    const { clock, window } = createWindow(3);
    const tryMany = () => Array.from({ length: 5 }, () => window.tryStart()).filter(Boolean).length;
    expect(tryMany()).toBe(3);
    clock.pause(WINDOW_MILLISECONDS);
    expect(tryMany()).toBe(3);
  });

  it('gives back what was proved not to have run', () => {
    const { window } = createWindow(1);
    window.tryStart();
    window.giveBack(window.use().windowStart);
    expect(window.tryStart()).toBe(true);
  });

  it('waits for the next window after a takeover without word', () => {
    const { clock, window } = createWindow(3);
    window.closeUntilNextWindow();
    expect(window.tryStart()).toBe(false);
    clock.pause(WINDOW_MILLISECONDS);
    expect(window.tryStart()).toBe(true);
  });

  it('goes on from what a former keeper told', () => {
    const { window } = createWindow(3);
    window.closeUntilNextWindow();
    window.restore({ windowStart: window.use().windowStart, started: 2 });
    expect([window.tryStart(), window.tryStart()]).toEqual([true, false]);
  });
});
