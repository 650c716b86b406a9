import { describe, expect, it } from 'vitest';
import type { OutcomeReason } from '@cactusrun/core';
import { OUTCOME_RULES } from '@cactusrun/core';
import type { CallerResult } from './FakeFleet.js';
import FakeFleet, { fakeContract } from './FakeFleet.js';
import type { TargetFault } from './FakeTargets.js';

/** Outcome for the caller, as in the outcome table; `cut` is a reset connection. */
type Kind = 'answered' | 'not-run' | 'unknown' | 'cut' | 'no-connection';

function kindOf(result: CallerResult): Kind {
  return result.outcome === 'refused'
    ? OUTCOME_RULES[result.reason as OutcomeReason].kind
    : (result.outcome as Kind);
}

/** Injects a fault; the returned function removes it before the retry. */
type Fault = (fleet: FakeFleet) => (() => void) | void;

interface FaultRow {
  readonly fault: string;
  readonly before?: Fault;
  /** Injected 10 ms after the first request, while the target works on it. */
  readonly during?: Fault;
  readonly lookup: readonly Kind[];
  readonly order: readonly Kind[];
  /** Outcomes of a retry of the order with its ticket, after the fault was removed if it can be. */
  readonly retry: readonly Kind[];
}

const ENTRY = 0;
const OTHER = 3;

function everyTarget(fault: TargetFault): Fault {
  return (fleet) => fleet.targets.setFault(fault);
}

function keepersOf(fleet: FakeFleet): readonly number[] {
  return ['t0', 't1'].map((target) => fleet.keeperOf(target));
}

function blockKeeperLinks(direction: 'to' | 'from'): Fault {
  return (fleet) => {
    const entry = fleet.nodes[ENTRY]!.host.name;
    keepersOf(fleet)
      .filter((keeper) => keeper !== ENTRY)
      .map((keeper) => fleet.nodes[keeper]!.host.name)
      .forEach((keeper) =>
        fleet.blocked.add(direction === 'to' ? `${entry}>${keeper}` : `${keeper}>${entry}`),
      );
    return () => fleet.blocked.clear();
  };
}

function killKeepers(fleet: FakeFleet): void {
  keepersOf(fleet)
    .filter((keeper) => keeper !== ENTRY)
    .forEach((keeper) => fleet.kill(keeper));
}

const ROWS: readonly FaultRow[] = [
  { fault: 'none', lookup: ['answered'], order: ['answered'], retry: ['answered'] },
  {
    fault: 'every target stalls',
    before: everyTarget('stalls'),
    lookup: ['unknown'],
    order: ['unknown'],
    retry: ['unknown'],
  },
  {
    fault: 'every target fails while it runs the request',
    before: everyTarget('breaks-while-running'),
    lookup: ['unknown', 'not-run'],
    order: ['unknown'],
    retry: ['unknown'],
  },
  {
    fault: 'every target fails before it runs the request',
    before: everyTarget('breaks-before-running'),
    lookup: ['unknown', 'not-run'],
    order: ['unknown'],
    retry: ['unknown'],
  },
  {
    fault: 'every target refuses connections',
    before: everyTarget('refuses-connections'),
    lookup: ['not-run'],
    order: ['not-run'],
    retry: ['not-run'],
  },
  {
    fault: 'every target sheds load',
    before: everyTarget('sheds'),
    lookup: ['not-run'],
    order: ['not-run'],
    retry: ['not-run'],
  },
  {
    fault: 'every target drains',
    before: everyTarget('drains'),
    lookup: ['not-run'],
    order: ['not-run'],
    retry: ['not-run'],
  },
  {
    fault: 'every answer is truncated',
    before: everyTarget('cuts-answers'),
    lookup: ['cut'],
    order: ['cut'],
    retry: ['unknown'],
  },
  {
    fault: 'one target refuses connections',
    before: (fleet) => fleet.targets.setFault('refuses-connections', ['t0']),
    lookup: ['answered'],
    order: ['answered'],
    retry: ['answered'],
  },
  {
    fault: 'one target sheds load',
    before: (fleet) => fleet.targets.setFault('sheds', ['t1']),
    lookup: ['answered'],
    order: ['answered'],
    retry: ['answered'],
  },
  {
    fault: 'one target stalls',
    before: (fleet) => fleet.targets.setFault('stalls', ['t0']),
    lookup: ['answered'],
    order: ['answered', 'unknown'],
    retry: ['answered', 'unknown'],
  },
  {
    fault: 'one target fails while it runs the request',
    before: (fleet) => fleet.targets.setFault('breaks-while-running', ['t2']),
    lookup: ['answered'],
    order: ['answered', 'unknown'],
    retry: ['answered', 'unknown'],
  },
  {
    fault: 'the keepers crash before the request, undetected',
    before: killKeepers,
    lookup: ['answered', 'not-run'],
    order: ['answered', 'not-run'],
    retry: ['answered', 'not-run'],
  },
  {
    fault: 'the keepers crash before the request, detected',
    before: (fleet) => {
      killKeepers(fleet);
      fleet.refreshViews();
    },
    lookup: ['answered'],
    order: ['answered'],
    retry: ['answered'],
  },
  {
    fault: 'the keepers crash while they run the request',
    during: (fleet) => {
      killKeepers(fleet);
      fleet.refreshViews();
    },
    lookup: ['answered', 'unknown'],
    order: ['answered', 'unknown'],
    retry: ['answered', 'unknown'],
  },
  {
    fault: 'the entry cannot send to the keepers',
    before: blockKeeperLinks('to'),
    lookup: ['answered', 'unknown'],
    order: ['answered', 'unknown'],
    retry: ['answered', 'unknown'],
  },
  {
    fault: 'the keepers cannot send to the entry',
    before: blockKeeperLinks('from'),
    lookup: ['answered', 'unknown'],
    order: ['answered', 'unknown'],
    retry: ['answered', 'unknown'],
  },
  {
    fault: 'the keepers are paused and resume after the deadline',
    before: (fleet) => {
      const resumes = keepersOf(fleet)
        .filter((keeper) => keeper !== ENTRY)
        .map((keeper) => fleet.pause(keeper));
      fleet.clock.after(8_000, () => resumes.forEach((resume) => resume()));
    },
    lookup: ['answered', 'not-run', 'unknown'],
    order: ['answered', 'not-run', 'unknown'],
    retry: ['answered', 'not-run', 'unknown'],
  },
  {
    fault: 'the keepers are isolated from their peers',
    before: (fleet) => {
      fleet.nodes.forEach((node) => Object.assign(node, { isIsolated: true }));
      return () => fleet.nodes.forEach((node) => Object.assign(node, { isIsolated: false }));
    },
    lookup: ['not-run'],
    order: ['not-run'],
    retry: ['answered'],
  },
  {
    fault: 'the shards moved, unknown to the entry',
    before: (fleet) => {
      const keeper = keepersOf(fleet).find((index) => index !== ENTRY) ?? OTHER;
      fleet.kill(keeper);
      fleet.refreshViews(fleet.nodes.filter((_, index) => index !== ENTRY));
    },
    lookup: ['answered', 'not-run'],
    order: ['answered', 'not-run'],
    retry: ['answered', 'not-run'],
  },
];

/** Daemons that the same order is sent to again, concurrently. */
const RETRY_DESTINATIONS = {
  'to the same daemon': [ENTRY],
  'to another daemon': [OTHER],
  'to both at once': [ENTRY, OTHER],
  'three times at once': [OTHER, OTHER, ENTRY],
} as const;

function expectConsistentOutcomes(
  fleet: FakeFleet,
  identity: string,
  results: readonly CallerResult[],
): void {
  const runs = fleet.targets.countRuns(identity);
  const kinds = results.map(kindOf);
  expect(runs).toBeLessThanOrEqual(1);
  if (kinds.includes('answered')) expect(runs).toBe(1);
  if (kinds.at(-1) === 'not-run') expect(runs).toBe(0);
  results
    .filter((result) => result.outcome === 'answered')
    .forEach((result) => expect(result.text).toBe(`${identity} shade`));
}

describe('requests under faults', () => {
  describe.each(ROWS)('$fault', (row) => {
    it('reports the correct outcome of a lookup', async () => {
      const fleet = await FakeFleet.create(4, 1);
      row.before?.(fleet);
      const pending = fleet.send({ node: ENTRY, kind: 'lookup', identity: 'look' });
      await fleet.clock.advance(10);
      row.during?.(fleet);
      const result = await fleet.settle(pending);
      expect(row.lookup).toContain(kindOf(result));
      if (kindOf(result) === 'not-run') {
        const held = result.reason === 'held-back';
        expect(held ? 0 : fleet.targets.countRuns('look')).toBe(0);
      }
    });

    it.each(Object.entries(RETRY_DESTINATIONS))(
      'runs an order at most once when it is retried %s',
      async (_, nodes) => {
        const fleet = await FakeFleet.create(4, 2);
        const ticket = fleet.issueTicket(ENTRY);
        const order = { kind: 'order' as const, identity: 'order-1', ticket };
        const undo = row.before?.(fleet);
        const pending = fleet.send({ ...order, node: ENTRY });
        await fleet.clock.advance(10);
        row.during?.(fleet);
        const first = await fleet.settle(pending);
        expect(row.order).toContain(kindOf(first));
        expectConsistentOutcomes(fleet, 'order-1', [first]);
        undo?.();
        fleet.refreshViews();
        const retries = await fleet.settle(
          Promise.all(
            nodes
              .filter((node) => fleet.nodes[node]!.isAlive)
              .map((node) => fleet.send({ ...order, node })),
          ),
        );
        retries.forEach((result) => expect(row.retry).toContain(kindOf(result)));
        await fleet.clock.advance(20_000);
        expectConsistentOutcomes(fleet, 'order-1', [first, ...retries]);
      },
    );
  });

  describe('the daemon that the ticket names', () => {
    const order = (ticket: string) => ({ kind: 'order' as const, identity: 'order-1', ticket });

    it('is replaced: the outcome stays unknown and the order does not run again', async () => {
      const fleet = await FakeFleet.create(4, 3);
      const ticket = fleet.issueTicket(ENTRY);
      await fleet.settle(fleet.send({ ...order(ticket), node: ENTRY }));
      fleet.kill(ENTRY);
      fleet.replace(ENTRY);
      const result = await fleet.settle(
        Promise.all([ENTRY, OTHER].map((node) => fleet.send({ ...order(ticket), node }))),
      );
      expect(result.map(({ reason }) => reason)).toEqual(['owner-gone', 'owner-gone']);
      expect(fleet.targets.countRuns('order-1')).toBe(1);
    });

    it('is paused while another daemon is asked, and resumes: the order runs once', async () => {
      const fleet = await FakeFleet.create(4, 4);
      const ticket = fleet.issueTicket(ENTRY);
      const resume = fleet.pause(ENTRY);
      const first = fleet.send({ ...order(ticket), node: ENTRY });
      const other = await fleet.settle(fleet.send({ ...order(ticket), node: OTHER }));
      expect(other.reason).toBe('owner-unreachable');
      resume();
      const result = await fleet.settle(first);
      expect(kindOf(result)).toBe('answered');
      await fleet.clock.advance(10_000);
      expect(fleet.targets.countRuns('order-1')).toBe(1);
    });

    it('receives its requests also from a daemon that has no configuration', async () => {
      const fleet = await FakeFleet.create(4, 17);
      const ticket = fleet.issueTicket(ENTRY);
      await fleet.settle(fleet.send({ ...order(ticket), node: ENTRY }));
      fleet.restartUnconfigured(OTHER);
      const result = await fleet.settle(fleet.send({ ...order(ticket), node: OTHER }));
      expect(kindOf(result)).toBe('answered');
      const unused = fleet.issueTicket(OTHER);
      const refused = await fleet.settle(fleet.send({ ...order(unused), node: OTHER }));
      expect(refused.reason).toBe('no-configuration');
      expect(fleet.targets.countRuns('order-1')).toBe(1);
    });

    it.each(['to', 'from'])('is cut off in one direction (%s)', async (direction) => {
      const fleet = await FakeFleet.create(4, 5);
      const ticket = fleet.issueTicket(ENTRY);
      fleet.blocked.add(direction === 'to' ? 'host-3>host-0' : 'host-0>host-3');
      const other = await fleet.settle(fleet.send({ ...order(ticket), node: OTHER }));
      expect(other.reason).toBe('owner-unreachable');
      fleet.blocked.clear();
      const result = await fleet.settle(fleet.send({ ...order(ticket), node: OTHER }));
      expect(kindOf(result)).toBe('answered');
      expect(fleet.targets.countRuns('order-1')).toBe(1);
    });
  });

  describe('a ticket', () => {
    it('is required for an order', async () => {
      const fleet = await FakeFleet.create(2, 6);
      const result = await fleet.settle(fleet.send({ node: 0, kind: 'order', identity: 'o' }));
      expect(result.reason).toBe('ticket-required');
      expect(fleet.targets.runs).toEqual([]);
    });

    it.each([
      ['nonsense', 'ticket-malformed'],
      ['ct1~host-0~1-host-0~1~AAAA~AAAAAAAAAAAAAAAAAAAAAA', 'ticket-malformed'],
      ['ct1~host-9~1-host-9~1~AAAA~AAAAAAAAAAAAAAAAAAAAAA', 'owner-gone'],
    ])('that was never issued runs nothing: %s', async (ticket, reason) => {
      const fleet = await FakeFleet.create(2, 7);
      const result = await fleet.settle(
        fleet.send({ node: 0, kind: 'order', identity: 'o', ticket }),
      );
      expect(result.reason).toBe(reason);
      expect(fleet.targets.runs).toEqual([]);
    });

    it('does not return its answer to a request with another body', async () => {
      const fleet = await FakeFleet.create(2, 8);
      const ticket = fleet.issueTicket(0);
      await fleet.settle(fleet.send({ node: 0, kind: 'order', identity: 'o', ticket }));
      const result = await fleet.settle(
        fleet.send({ node: 0, kind: 'order', identity: 'p', ticket, body: 'other' }),
      );
      expect(result.reason).toBe('ticket-mismatch');
    });
  });

  describe('a caller that disconnects', () => {
    it('frees the slot of a lookup', async () => {
      const fleet = await FakeFleet.create(2, 9);
      fleet.targets.setFault('stalls');
      const controller = new AbortController();
      const pending = fleet.send({
        node: 0,
        kind: 'lookup',
        identity: 'l',
        signal: controller.signal,
      });
      await fleet.clock.advance(20);
      const busy = fleet.nodes.reduce((sum, node) => sum + node.registry.inFlight, 0);
      controller.abort();
      await fleet.settle(pending);
      const after = fleet.nodes.reduce((sum, node) => sum + node.registry.inFlight, 0);
      expect([busy > 0, after]).toEqual([true, 0]);
    });

    it('does not stop an order that a target may run; its answer is stored', async () => {
      const fleet = await FakeFleet.create(2, 10);
      const ticket = fleet.issueTicket(0);
      const controller = new AbortController();
      const order = { node: 0, kind: 'order' as const, identity: 'o', ticket };
      const first = fleet.send({ ...order, signal: controller.signal });
      await fleet.clock.advance(10);
      controller.abort();
      await fleet.settle(first);
      const retry = await fleet.settle(fleet.send(order));
      expect(kindOf(retry)).toBe('answered');
      expect(fleet.targets.countRuns('o')).toBe(1);
    });
  });

  describe('limits', () => {
    it('never sends a target more concurrent requests than its slots, over all entries', async () => {
      const fleet = await FakeFleet.create(4, 11);
      const pending = Array.from({ length: 60 }, (_, index) =>
        fleet.send({ node: index % 4, kind: 'lookup', identity: `l${index}` }),
      );
      const results = await fleet.settle(Promise.all(pending));
      expect(fleet.targets.peak).toBeLessThanOrEqual(2);
      // Eight slots with a queue of two each; further requests are refused at once.
      const answered = results.filter((result) => kindOf(result) === 'answered');
      expect(answered).toHaveLength(8 + 2 * 8);
    });

    it('limits deposits per order window to the contract, over all daemons', async () => {
      const contract = fakeContract({ depositsPerOrderWindow: 5 });
      const fleet = await FakeFleet.create(4, 12, contract);
      const pending = Array.from({ length: 16 }, (_, index) => {
        const node = index % 4;
        const ticket = fleet.issueTicket(node);
        return fleet.send({ node, kind: 'deposit', identity: `d${index}`, ticket });
      });
      const results = await fleet.settle(Promise.all(pending));
      const kinds = results.map(kindOf);
      expect(kinds.filter((kind) => kind === 'answered')).toHaveLength(5);
      expect(fleet.targets.runs).toHaveLength(5);
      expect(results.find((result) => kindOf(result) === 'not-run')?.reason).toBe(
        'order-window-full',
      );
    });

    it('refuses requests that would miss their deadline in the queue', async () => {
      const fleet = await FakeFleet.create(2, 13);
      const pending = Array.from({ length: 80 }, (_, index) =>
        fleet.send({ node: 0, kind: 'lookup', identity: `l${index}`, timeoutMilliseconds: 60 }),
      );
      const results = await fleet.settle(Promise.all(pending));
      const refused = results.filter(
        (result) => result.reason === 'queue-deadline' || result.reason === 'queue-full',
      );
      expect(refused.length).toBeGreaterThan(0);
    });

    it('limits retries to the budget when a service always fails', async () => {
      const fleet = await FakeFleet.create(2, 14);
      fleet.targets.setFault('breaks-before-running');
      const budget = 0.2;
      const count = 200;
      await Array.from({ length: count }).reduce<Promise<unknown>>(async (before, _, index) => {
        await before;
        return fleet.settle(
          fleet.send({ node: 0, kind: 'lookup', identity: `l${index}`, body: `b${index}` }),
        );
      }, Promise.resolve());
      const attempts = fleet.nodes.reduce(
        (sum, node) => sum + node.counters.valueOf('target_failures', 'broken'),
        0,
      );
      const start = 5;
      expect(attempts).toBeGreaterThan(count * 0.9);
      expect(attempts).toBeLessThanOrEqual(count * (1 + budget) + 2 * start);
    });
  });

  describe('a poison request', () => {
    it('is held after two crashes, on every daemon', async () => {
      const fleet = await FakeFleet.create(4, 15);
      fleet.targets.setFault('crashes-on-text');
      const send = (node: number) =>
        fleet.settle(fleet.send({ node, kind: 'lookup', identity: 'bad', body: 'crash-me' }));
      const results = [await send(0), await send(1), await send(2), await send(3)];
      expect(fleet.targets.countRuns('bad')).toBe(2);
      expect(results.slice(1).map(({ reason }) => reason)).toEqual(Array(3).fill('held-back'));
    });

    it('does not hold another request after a single crash', async () => {
      const fleet = await FakeFleet.create(4, 16);
      fleet.targets.setFault('breaks-while-running');
      await fleet.settle(
        fleet.send({ node: 0, kind: 'order', identity: 'o', ticket: fleet.issueTicket(0) }),
      );
      fleet.targets.setFault('healthy');
      const result = await fleet.settle(
        fleet.send({ node: 0, kind: 'order', identity: 'p', ticket: fleet.issueTicket(0) }),
      );
      expect(kindOf(result)).toBe('answered');
    });
  });
});
