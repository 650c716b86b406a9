import { describe, expect, it } from 'vitest';
import { divideGraceTime } from '../../StopTimes.js';

describe('divideGraceTime', () => {
  it.each([200, 500, 1_000, 2_000, 4_000, 6_000, 10_000])(
    'leaves requests of the serving time of a grace time of %i ms time to end',
    (graceMilliseconds) => {
      const { servingMilliseconds, totalMilliseconds } = divideGraceTime(graceMilliseconds);
      expect(totalMilliseconds).toBeGreaterThanOrEqual(1.5 * servingMilliseconds);
      expect(totalMilliseconds).toBeLessThan(graceMilliseconds);
    },
  );
});
