import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import IdleReuse, { HOT_MILLISECONDS } from '../../IdleReuse.js';

describe('IdleReuse', () => {
  let clock: ManualClock;
  let reuse: IdleReuse;

  beforeEach(() => {
    clock = new ManualClock();
    reuse = new IdleReuse(clock);
  });

  it('sets no limit before a connection was dropped', () => {
    expect(reuse.longestIdle('a')).toBe(Number.POSITIVE_INFINITY);
  });

  describe('after one target dropped a connection', () => {
    it('limits only that target to recently used connections', () => {
      reuse.noteDrop('a');
      reuse.noteDrop('a');
      expect(reuse.longestIdle('a')).toBe(HOT_MILLISECONDS);
      expect(reuse.longestIdle('b')).toBe(Number.POSITIVE_INFINITY);
    });
  });

  describe('after several targets dropped connections', () => {
    it('limits all targets to recently used connections for a while', () => {
      reuse.noteDrop('a');
      clock.pause(4_000);
      reuse.noteDrop('b');
      expect(reuse.longestIdle('c')).toBe(HOT_MILLISECONDS);
      clock.pause(6_500);
      expect(reuse.longestIdle('c')).toBe(Number.POSITIVE_INFINITY);
      expect(reuse.longestIdle('b')).toBe(HOT_MILLISECONDS);
    });
  });
});
