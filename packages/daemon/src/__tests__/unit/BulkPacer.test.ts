import { describe, expect, it } from 'vitest';
import { ManualClock } from '@cactusrun/core';
import BulkPacer from '../../BulkPacer.js';

const ROUND_TRIP_MILLISECONDS = 60;
const PIECE_MILLISECONDS = 2;

/** Sends pieces over a simulated link with one FIFO queue; returns the longest queueing delay. */
async function simulateTransfers(clock: ManualClock, pacers: readonly BulkPacer[], pieces: number) {
  let freeAt = 0;
  let longest = 0;
  let lastSent = 0;
  const send = async (pacer: BulkPacer, left: number): Promise<void> => {
    if (left === 0) return;
    await pacer.acquire();
    const queued = Math.max(0, freeAt - clock.now());
    if (clock.now() > 5_000) longest = Math.max(longest, queued);
    freeAt = clock.now() + queued + PIECE_MILLISECONDS;
    lastSent = clock.now();
    clock.after(freeAt - clock.now() + ROUND_TRIP_MILLISECONDS, () => pacer.acknowledge());
    await send(pacer, left - 1);
  };
  const sending = Promise.all(pacers.map((pacer) => send(pacer, pieces)));
  await clock.advance(60_000);
  await sending;
  return { longest, milliseconds: lastSent };
}

describe('BulkPacer', () => {
  it('uses the bandwidth of a link with little queueing', async () => {
    const clock = new ManualClock();
    const pacer = new BulkPacer(() => clock.now());
    const { longest, milliseconds } = await simulateTransfers(clock, [pacer], 6_000);
    expect(longest).toBeLessThan(30);
    expect((6_000 * PIECE_MILLISECONDS) / milliseconds).toBeGreaterThan(0.8);
  });

  it('keeps queueing low when several bodies share a link', async () => {
    const clock = new ManualClock();
    const pacers = [1, 2, 3].map(() => new BulkPacer(() => clock.now()));
    const { longest } = await simulateTransfers(clock, pacers, 3_000);
    expect(longest).toBeLessThan(60);
  });

  it('stops sending without acknowledgements, and resumes once ended', async () => {
    const clock = new ManualClock();
    const pacer = new BulkPacer(() => clock.now());
    let sent = 0;
    const sendAll = async (): Promise<void> => {
      await pacer.acquire();
      sent += 1;
      if (sent < 20) await sendAll();
    };
    const sending = sendAll();
    await clock.advance(1_000);
    expect(sent).toBe(4);
    pacer.end();
    await sending;
    expect(sent).toBe(20);
  });
});
