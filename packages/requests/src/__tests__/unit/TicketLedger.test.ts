import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import { Counters, ManualClock } from '@cactusrun/core';
import TicketIssuer, { readTicket } from '../../Ticket.js';
import type { Admission, AdmittedRun } from '../../TicketLedger.js';
import TicketLedger, { TICKET_LIFETIME_MILLISECONDS } from '../../TicketLedger.js';

const USE = { requestKey: 'POST /orders default caller' };

function expectRun(admission: Admission): AdmittedRun {
  if (admission.kind !== 'run') throw new Error(`expected a run, got ${JSON.stringify(admission)}`);
  return admission.run;
}

function answerOf(bytes: number) {
  return { status: 200, headers: [], body: Buffer.alloc(bytes) };
}

describe('TicketIssuer', () => {
  const issuer = new TicketIssuer('host-1', 'inc-1');

  it('verifies its own tickets and rejects those of another issuer', () => {
    const ticket = issuer.issue(1_234);
    expect(issuer.isOwn(ticket)).toBe(true);
    expect(readTicket(ticket)).toEqual({ host: 'host-1', incarnation: 'inc-1', issuedAt: 1_234 });
    expect(new TicketIssuer('host-1', 'inc-1').isOwn(ticket)).toBe(false);
  });

  it('rejects a modified ticket', () => {
    const ticket = issuer.issue(99);
    fc.assert(
      fc.property(fc.nat(ticket.length - 1), fc.constantFrom('a', 'Z', '~', '0'), (at, letter) => {
        const changed = ticket.slice(0, at) + letter + ticket.slice(at + 1);
        // The last character of base64url has unused bits, so that two characters may decode alike.
        if (changed === ticket || at === ticket.length - 1) return;
        expect(issuer.isOwn(changed)).toBe(false);
      }),
      { seed: 3 },
    );
  });

  it.each(['', 'x', 'ct1~~~~~', 'ct1~a~b~!~c~d~e', 'ct2~h~i~1~n~c'])(
    'does not parse a malformed ticket: %s',
    (text) => {
      expect(readTicket(text)).toBeUndefined();
    },
  );
});

describe('TicketLedger', () => {
  let clock: ManualClock;
  let ledger: TicketLedger;
  let issuer: TicketIssuer;

  beforeEach(() => {
    clock = new ManualClock();
    issuer = new TicketIssuer('host-1', 'inc-1');
    ledger = new TicketLedger(clock, new Counters(), { tickets: 4, answerBytes: 1_000 });
  });

  const issue = () => issuer.issue(clock.now());

  describe('a ticket that was used', () => {
    it('joins the running request', async () => {
      const ticket = issue();
      const run = expectRun(ledger.admit(ticket, USE));
      const again = ledger.admit(ticket, USE);
      if (again.kind !== 'join') throw new Error('expected to join');
      run.answered(answerOf(3));
      expect(await TicketLedger.endOf(again.entry)).toMatchObject({ kind: 'answered' });
    });

    it('gets the kept answer, or only the outcome if the answer was evicted', async () => {
      const tickets = [issue(), issue()];
      tickets.forEach((ticket) => expectRun(ledger.admit(ticket, USE)).answered(answerOf(600)));
      const ends = await Promise.all(
        tickets.map(async (ticket) => {
          const admission = ledger.admit(ticket, USE);
          return admission.kind === 'join' ? TicketLedger.endOf(admission.entry) : undefined;
        }),
      );
      expect(ends[0]).toEqual({ kind: 'answered', answer: undefined });
      expect(ends[1]).toMatchObject({ answer: { status: 200 } });
      expect(ledger.answerBytes).toBe(600);
    });

    it('remains in doubt after its run ended in doubt', async () => {
      const ticket = issue();
      expectRun(ledger.admit(ticket, USE)).inDoubt('target-timeout');
      const again = ledger.admit(ticket, USE);
      if (again.kind !== 'join') throw new Error('expected to join');
      expect(await TicketLedger.endOf(again.entry)).toEqual({
        kind: 'in-doubt',
        reason: 'target-timeout',
      });
    });

    it('may run again after it was proved not to have run', () => {
      const ticket = issue();
      expectRun(ledger.admit(ticket, USE)).release();
      expectRun(ledger.admit(ticket, USE));
    });

    it('discloses nothing to another request', () => {
      const ticket = issue();
      expectRun(ledger.admit(ticket, USE)).answered(answerOf(3));
      const other = ledger.admit(ticket, { requestKey: 'POST /orders default thief' });
      expect(other).toEqual({ kind: 'refused', reason: 'ticket-mismatch' });
    });
  });

  describe('a ticket that was not used', () => {
    it('expires as proved unused, and is later forgotten', () => {
      const ticket = issue();
      clock.pause(TICKET_LIFETIME_MILLISECONDS + 1);
      expect(ledger.admit(ticket, USE)).toEqual({ kind: 'refused', reason: 'ticket-expired' });
      clock.pause(TICKET_LIFETIME_MILLISECONDS);
      expect(ledger.admit(ticket, USE)).toEqual({ kind: 'refused', reason: 'ticket-forgotten' });
    });

    it('is not accepted as new after a ticket that is not older was evicted', () => {
      const early = issue();
      clock.pause(10);
      Array.from({ length: 4 }, () => issue()).forEach((ticket) =>
        expectRun(ledger.admit(ticket, USE)).answered(undefined),
      );
      clock.pause(10);
      expectRun(ledger.admit(issue(), USE));
      expect(ledger.admit(early, USE)).toEqual({ kind: 'refused', reason: 'ticket-forgotten' });
    });

    it('is refused while running requests fill the ledger', () => {
      Array.from({ length: 4 }, () => issue()).forEach((ticket) =>
        expectRun(ledger.admit(ticket, USE)),
      );
      expect(ledger.admit(issue(), USE)).toEqual({ kind: 'refused', reason: 'ticket-capacity' });
    });
  });

  it('starts a second run of a ticket only after the first was proved not to have run', () => {
    const step = fc.record({
      action: fc.constantFrom('admit', 'release', 'answer', 'doubt', 'wait'),
      ticket: fc.nat(5),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const time = new ManualClock();
        const boundedLedger = new TicketLedger(time, new Counters(), {
          tickets: 3,
          answerBytes: 10,
        });
        const tickets = Array.from({ length: 6 }, (_, index) => issuer.issue(index));
        const live = new Map<number, AdmittedRun>();
        const mayHaveRun = new Set<number>();
        steps.forEach(({ action, ticket }) => {
          if (action === 'wait') time.pause(TICKET_LIFETIME_MILLISECONDS / 4);
          if (action === 'admit') {
            const admission = boundedLedger.admit(tickets[ticket]!, USE);
            if (admission.kind !== 'run') return;
            expect(mayHaveRun.has(ticket)).toBe(false);
            mayHaveRun.add(ticket);
            live.set(ticket, admission.run);
            return;
          }
          const run = live.get(ticket);
          if (run === undefined || action === 'wait') return;
          live.delete(ticket);
          if (action === 'release') {
            run.release();
            mayHaveRun.delete(ticket);
          }
          if (action === 'answer') run.answered(answerOf(4));
          if (action === 'doubt') run.inDoubt('keeper-lost');
        });
        expect(boundedLedger.size).toBeLessThanOrEqual(3);
        expect(boundedLedger.answerBytes).toBeLessThanOrEqual(10);
      }),
      { seed: 17, numRuns: 1_000 },
    );
  });
});
