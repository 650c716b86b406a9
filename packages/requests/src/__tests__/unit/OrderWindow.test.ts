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
  ])('sums to the limit of the contract: %i over %j', (total, sizes) => {
    const shares = sizes.map((_, index) => shareOfDeposits(total, sizes, index));
    expect(shares.reduce((sum, share) => sum + share, 0)).toBe(total);
  });
});

describe('OrderWindow', () => {
  it('starts no more deposits than its limit in each window', () => {
    const { clock, window } = createWindow(3);
    const countStarted = () =>
      Array.from({ length: 5 }, () => window.tryStartDeposit()).filter(Boolean).length;
    expect(countStarted()).toBe(3);
    clock.pause(WINDOW_MILLISECONDS);
    expect(countStarted()).toBe(3);
  });

  it('allows another deposit after one was proved not to have run', () => {
    const { window } = createWindow(1);
    window.tryStartDeposit();
    window.cancelDeposit(window.use().windowStart);
    expect(window.tryStartDeposit()).toBe(true);
  });

  it('starts no deposit before the next window after a takeover without handover', () => {
    const { clock, window } = createWindow(3);
    window.closeUntilNextWindow();
    expect(window.tryStartDeposit()).toBe(false);
    clock.pause(WINDOW_MILLISECONDS);
    expect(window.tryStartDeposit()).toBe(true);
  });

  it('counts the deposits that the former keeper reported', () => {
    const { window } = createWindow(3);
    window.closeUntilNextWindow();
    window.restore({ windowStart: window.use().windowStart, started: 2 });
    expect([window.tryStartDeposit(), window.tryStartDeposit()]).toEqual([true, false]);
  });
});
