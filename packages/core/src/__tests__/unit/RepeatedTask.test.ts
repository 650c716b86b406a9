import { beforeEach, describe, expect, it } from 'vitest';
import type { LogFields } from '../../Logger.js';
import { silentLogger } from '../../Logger.js';
import ManualClock from '../../ManualClock.js';
import { FAILURE_PAUSE_MILLISECONDS, startRepeatedTask } from '../../RepeatedTask.js';

const PAUSE_MILLISECONDS = 100;

describe('startRepeatedTask', () => {
  let clock: ManualClock;
  let steps: number;
  let warnings: LogFields[];

  beforeEach(() => {
    clock = new ManualClock();
    steps = 0;
    warnings = [];
  });

  function start(failingStep: number) {
    return startRepeatedTask({
      name: 'checks',
      step: async (signal) => {
        steps += 1;
        if (steps === failingStep) throw new Error('odd entry');
        await clock.sleep(PAUSE_MILLISECONDS, signal);
      },
      clock,
      logger: { ...silentLogger, warn: (event, fields) => warnings.push({ event, ...fields }) },
    });
  }

  it('goes on after a step that failed, and logs the failure', async () => {
    const stop = start(2);
    await clock.advance(PAUSE_MILLISECONDS);
    expect(steps).toBe(2);
    await clock.advance(FAILURE_PAUSE_MILLISECONDS);
    expect(steps).toBe(3);
    expect(warnings).toEqual([{ event: 'task-failed', task: 'checks', cause: 'odd entry' }]);
    await stop();
  });

  it('ends once it is stopped, also in the pause after a failure', async () => {
    const stop = start(1);
    await clock.advance(0);
    await stop();
    await clock.advance(10 * FAILURE_PAUSE_MILLISECONDS);
    expect(steps).toBe(1);
  });
});
