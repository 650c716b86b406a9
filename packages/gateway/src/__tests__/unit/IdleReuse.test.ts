import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import IdleReuse, { RECENT_USE_MILLISECONDS } from '../../connections/IdleReuse.js';

describe('IdleReuse', () => {
  let clock: ManualClock;
  let reuse: IdleReuse;

  beforeEach(() => {
    clock = new ManualClock();
    reuse = new IdleReuse(clock);
  });

  it('sets no limit before a connection was dropped', () => {
    expect(reuse.maximumIdleMilliseconds('a')).toBe(Number.POSITIVE_INFINITY);
  });

  describe('after one target dropped a connection', () => {
    it('limits only that target to recently used connections', () => {
      reuse.recordDrop('a');
      reuse.recordDrop('a');
      expect(reuse.maximumIdleMilliseconds('a')).toBe(RECENT_USE_MILLISECONDS);
      expect(reuse.maximumIdleMilliseconds('b')).toBe(Number.POSITIVE_INFINITY);
    });
  });

  describe('after several targets dropped connections', () => {
    it('limits all targets to recently used connections for a while', () => {
      reuse.recordDrop('a');
      clock.pause(4_000);
      reuse.recordDrop('b');
      expect(reuse.maximumIdleMilliseconds('c')).toBe(RECENT_USE_MILLISECONDS);
      clock.pause(6_500);
      expect(reuse.maximumIdleMilliseconds('c')).toBe(Number.POSITIVE_INFINITY);
      expect(reuse.maximumIdleMilliseconds('b')).toBe(RECENT_USE_MILLISECONDS);
    });
  });
});
