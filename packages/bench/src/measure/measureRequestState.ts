/** Memory of used tickets and of target health, by number. */
import { Counters, ManualClock, silentLogger } from '@cactusrun/core';
import { ShardHealth } from '@cactusrun/health';
import { TicketIssuer, TicketLedger } from '@cactusrun/requests';
import type { Section } from '../Measurement.js';
import { measureMemory, SLOPE_HEAD, slopeRow } from './slopes.js';

export default function measureRequestState(): Section {
  const counts = [1_000, 5_000, 10_000, 25_000, 50_000];
  const ticketPoints = counts.map((count) => {
    const clock = new ManualClock();
    const issuer = new TicketIssuer('host-1', 'incarnation');
    const bytes = measureMemory(() => {
      const ledger = new TicketLedger(clock, new Counters(), { tickets: count, answerBytes: 0 });
      Array.from({ length: count }).forEach(() => {
        const admission = ledger.admit(issuer.issue(clock.now()), {
          requestKey: 'POST /orders x y',
        });
        if (admission.kind === 'run') admission.run.answered(undefined);
      });
      return ledger;
    });
    return [count, bytes] as const;
  });
  const targetCounts = [10, 50, 100, 200, 400];
  const healthPoints = targetCounts.map((count) => {
    const bytes = measureMemory(() => {
      const clock = new ManualClock();
      const names = Array.from({ length: count }, (_, index) => `target-${index}`);
      return new ShardHealth({
        service: 'service',
        targets: names,
        caution: 'balanced',
        clock,
        counters: new Counters(),
        logger: silentLogger,
        isEjected: () => false,
      });
    });
    return [count, bytes] as const;
  });
  return {
    title: 'Memory of tickets and target health',
    head: SLOPE_HEAD,
    rows: [
      slopeRow('used tickets, answers dropped', 'bytes each', ticketPoints),
      slopeRow('health of targets', 'bytes each', healthPoints),
    ],
  };
}
