import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Counters, floorOf, ManualClock } from '@cactusrun/core';
import type { Operation } from '../../Change.js';
import type { ConfigurationState } from '../../ConfigurationState.js';
import { EMPTY_STATE, targetKey } from '../../ConfigurationState.js';
import ConfigurationStore from '../../ConfigurationStore.js';
import foldEntry from '../../foldEntry.js';
import type { LogEntry, LogRecord } from '../../LogRecord.js';
import { createSnapshotRecords, findSnapshot, packState, unpackState } from '../../Snapshot.js';
import { changeRecord, entryOf, sampleChange, sampleContract } from './sampleContracts.js';

function foldAll(records: readonly LogRecord[], from = EMPTY_STATE): ConfigurationState {
  return records
    .map((record, index) => entryOf(from.offset + 1 + index, record))
    .reduce(foldEntry, from);
}

const create = (service: string): Operation => ({
  kind: 'create-contract',
  contract: sampleContract(service),
});
const setFloor = (service: string, floorPercent: number): Operation => ({
  kind: 'change-contract',
  service,
  patch: { floorPercent },
});

describe('foldEntry', () => {
  describe('changes', () => {
    const base = foldAll([changeRecord(sampleChange('a', -1, [create('orders')]))]);

    const cases: readonly {
      readonly name: string;
      readonly operations: readonly Operation[];
      readonly baseRevision?: number;
      readonly verdict: string;
    }[] = [
      { name: 'accepts a change', operations: [setFloor('orders', 50)], verdict: 'accepted' },
      {
        name: 'refuses to create a contract that exists',
        operations: [create('orders')],
        verdict: 'contract-exists',
      },
      {
        name: 'refuses to change an unknown contract',
        operations: [setFloor('none', 50)],
        verdict: 'contract-unknown',
      },
      {
        name: 'refuses a floor out of range',
        operations: [setFloor('orders', 120)],
        verdict: 'contract-invalid',
      },
      {
        name: 'refuses to drain an unknown target',
        operations: [{ kind: 'drain-target', service: 'orders', target: 'none' }],
        verdict: 'target-unknown',
      },
      {
        name: 'refuses to lift an unknown hold',
        operations: [{ kind: 'lift-hold', service: 'orders', fingerprint: 'f' }],
        verdict: 'hold-unknown',
      },
      {
        name: 'applies no operation of a change if one of them is refused',
        operations: [setFloor('orders', 50), setFloor('none', 50)],
        verdict: 'contract-unknown',
      },
      {
        name: 'refuses a change made against an older revision of the contract',
        operations: [setFloor('orders', 50)],
        baseRevision: -1,
        verdict: 'conflict',
      },
    ];

    it.each(cases)('$name', ({ operations, baseRevision = 0, verdict }) => {
      const state = foldAll([changeRecord(sampleChange('b', baseRevision, operations))], base);
      const remembered = state.remembered.get('b')?.verdict;
      expect(remembered?.kind === 'refused' ? remembered.reason : remembered?.kind).toBe(verdict);
      if (verdict !== 'accepted') {
        expect(state.contracts).toEqual(base.contracts);
        expect(state.revision).toBe(base.revision);
      }
    });

    it('names the conflicting change in the refusal', () => {
      const state = foldAll(
        [
          changeRecord(sampleChange('first', 0, [setFloor('orders', 50)])),
          changeRecord(sampleChange('second', 0, [setFloor('orders', 60)])),
        ],
        base,
      );
      const verdict = state.remembered.get('second')?.verdict;
      expect(verdict).toMatchObject({ kind: 'refused', reason: 'conflict' });
      expect(JSON.stringify(verdict)).toContain('first');
      expect(state.contracts.get('orders')?.floorPercent).toBe(50);
    });

    it('applies a change that is appended repeatedly once', () => {
      const record = changeRecord(sampleChange('same', 0, [setFloor('orders', 50)]));
      const other = changeRecord(sampleChange('other', 2, [setFloor('orders', 60)]));
      const state = foldAll([record, record, other, record], base);
      expect(state.contracts.get('orders')?.floorPercent).toBe(60);
      expect(state.remembered.get('same')?.verdict).toEqual({ kind: 'accepted', revision: 1 });
    });

    it('refuses a base revision older than the remembered changes', () => {
      const many = Array.from({ length: 1_010 }, (_, index) =>
        changeRecord(sampleChange(`m${index}`, index, [setFloor('orders', 10 + (index % 50))])),
      );
      const state = foldAll(many, base);
      const late = foldAll([changeRecord(sampleChange('a', -1, [create('late')]))], state);
      expect(late.remembered.get('a')?.verdict).toMatchObject({ reason: 'base-too-old' });
    });
  });

  describe('records that this version does not understand', () => {
    const data = [
      '{',
      '{"kind":"from-the-future"}',
      '{"kind":"change","identity":"x","author":"","baseRevision":0,"operations":[{"kind":"fly"}]}',
      '',
      'null',
    ];

    it.each(data)('have no effect: %s', (text) => {
      const base = foldAll([changeRecord(sampleChange('a', -1, [create('orders')]))]);
      const state = foldEntry(base, { offset: 1, timestamp: 0, data: text });
      expect(state.contracts).toEqual(base.contracts);
      expect(state.revision).toBe(base.revision);
      expect(state.gaps).toEqual([1]);
    });
  });

  describe('ejection leases', () => {
    const base = foldAll([changeRecord(sampleChange('a', -1, [create('orders')]))]);
    const claim = (
      target: string,
      holder = 'h',
      otherwiseUnavailable: string[] = [],
    ): LogRecord => ({
      kind: 'ejection-claim',
      service: 'orders',
      target,
      holder,
      leaseMilliseconds: 15_000,
      otherwiseUnavailable,
    });

    it('are granted only for as many targets as the floor allows', () => {
      const state = foldAll(
        ['t0', 't1', 't2', 't3', 't4'].map((name) => claim(name)),
        base,
      );
      expect([...state.claims.keys()]).toEqual(['orders/t0', 'orders/t1', 'orders/t2']);
    });

    it('count targets that are unavailable for other reasons', () => {
      const state = foldAll([claim('t0', 'h', ['t8', 't9']), claim('t1', 'h', ['t8', 't9'])], base);
      expect([...state.claims.keys()]).toEqual(['orders/t0']);
    });

    it('end only when their holder returns them or after expiry plus the margin', () => {
      const held = foldAll([claim('t0', 'one')], base);
      const returnedByOther = foldAll(
        [{ kind: 'ejection-return', service: 'orders', target: 't0', holder: 'two' }],
        held,
      );
      expect(returnedByOther.claims.has('orders/t0')).toBe(true);
      const early = foldEntry(held, entryOf(2, claim('t5'), 1_000 + 15_000));
      expect(early.claims.has('orders/t0')).toBe(true);
      const late = foldEntry(held, entryOf(2, claim('t5'), 1_000 + 17_000));
      expect(late.claims.has('orders/t0')).toBe(false);
    });

    it('that a raised floor revoked still count until they are returned', () => {
      const held = foldAll(
        ['t0', 't1', 't2'].map((name) => claim(name)),
        base,
      );
      const raised = foldAll(
        [changeRecord(sampleChange('b', 0, [setFloor('orders', 90)])), claim('t3')],
        held,
      );
      expect([...raised.claims.values()].map(({ isRevoked }) => isRevoked)).toEqual([
        false,
        true,
        true,
      ]);
    });

    it('in force never exceed what the floor allows', () => {
      const record = fc.oneof(
        fc.record({ type: fc.constant('claim'), target: fc.nat(9), holder: fc.nat(2) }),
        fc.record({ type: fc.constant('return'), target: fc.nat(9), holder: fc.nat(2) }),
        fc.record({ type: fc.constant('renew'), target: fc.constant(0), holder: fc.nat(2) }),
        fc.record({ type: fc.constant('wait'), target: fc.constant(0), holder: fc.nat(30) }),
        fc.record({ type: fc.constant('floor'), target: fc.nat(9), holder: fc.nat(2) }),
      );
      fc.assert(
        fc.property(fc.array(record, { maxLength: 60 }), (steps) => {
          let state = base;
          let time = 1_000;
          steps.forEach(({ type, target, holder }, index) => {
            if (type === 'wait') {
              time += holder * 1_000;
              return;
            }
            const records: Record<string, LogRecord> = {
              claim: claim(`t${target}`, `h${holder}`),
              return: {
                kind: 'ejection-return',
                service: 'orders',
                target: `t${target}`,
                holder: `h${holder}`,
              },
              renew: { kind: 'ejection-renewal', holder: `h${holder}`, leaseMilliseconds: 15_000 },
              floor: changeRecord(
                sampleChange(`f${index}`, state.revision, [setFloor('orders', target * 10)]),
              ),
            };
            const before = state;
            state = foldEntry(state, entryOf(state.offset + 1, records[type]!, time));
            const contract = state.contracts.get('orders')!;
            const budget = contract.targets.length - floorOf(contract);
            const isGranted = state.claims.size > before.claims.size;
            if (isGranted) expect(state.claims.size).toBeLessThanOrEqual(budget);
            const inForce = [...state.claims.values()].filter(({ isRevoked }) => !isRevoked);
            expect(inForce.length).toBeLessThanOrEqual(Math.max(budget, 0));
          });
        }),
        { seed: 7, numRuns: 300 },
      );
    });
  });
});

describe('ConfigurationStore', () => {
  const records = [
    changeRecord(sampleChange('a', -1, [create('orders')])),
    changeRecord(sampleChange('b', 0, [create('stock')])),
    changeRecord(sampleChange('c', 1, [setFloor('orders', 50)])),
    changeRecord(sampleChange('d', 2, [{ kind: 'withdraw-contract', service: 'stock' }])),
    changeRecord(sampleChange('e', 3, [setFloor('orders', 60)])),
  ];
  const entries = records.map((record, index) => entryOf(index, record));
  const states = entries.map((_, index) =>
    entries.slice(0, index + 1).reduce(foldEntry, EMPTY_STATE),
  );

  it('packs and unpacks a state without loss', () => {
    const state = states.at(-1)!;
    expect(unpackState(packState(state))).toEqual(state);
  });

  it('never returns to an older state, in whatever order entries and states arrive', () => {
    const event = fc.oneof(
      fc.record({ type: fc.constant('entries' as const), from: fc.nat(4), to: fc.nat(4) }),
      fc.record({ type: fc.constant('state' as const), from: fc.nat(4), to: fc.constant(0) }),
    );
    fc.assert(
      fc.property(fc.array(event, { maxLength: 30 }), (events) => {
        const store = new ConfigurationStore(new Counters(), new ManualClock());
        let revision = -1;
        events.forEach(({ type, from, to }) => {
          if (type === 'entries') store.apply(entries.slice(from, to + 1));
          else store.adopt(states[from]!, 'peer');
          expect(store.current.revision).toBeGreaterThanOrEqual(revision);
          revision = store.current.revision;
          const expected = states[store.current.offset] ?? EMPTY_STATE;
          expect(store.current).toEqual(expected);
        });
      }),
      { seed: 11, numRuns: 300 },
    );
  });

  it('handles arbitrary records without an exception or a lower revision', () => {
    const store = new ConfigurationStore(new Counters(), new ManualClock());
    store.apply(entries);
    const { revision } = store.current;
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), (data) => {
        store.apply([{ offset: store.current.offset + 1, timestamp: 0, data }]);
        expect(store.current.revision).toBeGreaterThanOrEqual(revision);
      }),
      { seed: 13, numRuns: 500 },
    );
  });
});

describe('findSnapshot', () => {
  const state = foldAll([
    changeRecord(sampleChange('a', -1, [create('orders')])),
    changeRecord(sampleChange('b', 0, [create('stock')])),
  ]);
  const later = foldAll([changeRecord(sampleChange('c', 1, [setFloor('orders', 30)]))], state);
  const entriesOf = (parts: readonly LogRecord[], from: number): LogEntry[] =>
    parts.map((part, index) => entryOf(from + index, part));

  it('finds the newest complete snapshot from which the log continues', () => {
    const entries = [
      ...entriesOf(createSnapshotRecords(state), 5),
      ...entriesOf(createSnapshotRecords(later), 9),
    ];
    expect(findSnapshot(entries, 2)?.offset).toBe(2);
    expect(findSnapshot(entries, 4)).toBeUndefined();
  });

  it('ignores a snapshot with a missing or damaged part', () => {
    const [part] = createSnapshotRecords(state);
    const damaged = { ...part!, data: `${part!.data.slice(0, -8)}AAAAAAA=` };
    const partial = { ...part!, count: 2 };
    expect(findSnapshot([entryOf(5, damaged)], 0)).toBeUndefined();
    expect(findSnapshot([entryOf(5, partial)], 0)).toBeUndefined();
  });

  it('returns a rebase snapshot when there is no other', () => {
    const entries = entriesOf(createSnapshotRecords(state, true), 50);
    const found = findSnapshot(entries, 50);
    expect(found?.offset).toBe(50);
    expect(found?.revision).toBe(state.revision);
    expect(found?.contracts.has(targetKey('orders', 'x'))).toBe(false);
    expect(found?.contracts.has('orders')).toBe(true);
  });
});
