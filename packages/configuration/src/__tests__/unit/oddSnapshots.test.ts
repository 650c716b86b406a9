import { gzipSync } from 'node:zlib';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Counters, ManualClock } from '@cactusrun/core';
import type { ConfigurationState } from '../../ConfigurationState.js';
import { EMPTY_STATE } from '../../ConfigurationState.js';
import ConfigurationStore from '../../ConfigurationStore.js';
import foldEntry from '../../foldEntry.js';
import { createSnapshotRecords, findSnapshot, packState, unpackState } from '../../Snapshot.js';
import { changeRecord, entryOf, sampleChange, sampleContract } from './sampleContracts.js';

const SEED = 20_261_205;
const CREATION = sampleChange('a', -1, [
  { kind: 'create-contract', contract: sampleContract('orders') },
]);
const STATE = foldEntry(EMPTY_STATE, entryOf(0, changeRecord(CREATION)));
const FIELDS = [
  'offset',
  'revision',
  'forgottenOffset',
  'gaps',
  'drained',
  'contracts',
  'claims',
  'holds',
  'remembered',
  'touched',
];

function pack(plain: unknown): Buffer {
  return gzipSync(JSON.stringify(plain));
}

/** The state in the form in which it is packed, with some fields replaced. */
function plainWith(patch: Readonly<Record<string, unknown>>): Record<string, unknown> {
  const contracts = [...STATE.contracts];
  const lists = { claims: [], holds: [], remembered: [], touched: [], drained: [] };
  return { version: 1, ...STATE, ...lists, contracts, ...patch };
}

const ODD_FIELDS: readonly Readonly<Record<string, unknown>>[] = [
  { revision: 'x' },
  { revision: 7, offset: 6 },
  { offset: 1e300 },
  { gaps: undefined },
  { gaps: 'x' },
  { drained: [7] },
  { contracts: null },
  { contracts: [['orders', 7]] },
  { contracts: [['orders', {}]] },
  { contracts: [['stock', sampleContract('orders')]] },
  { contracts: [['orders', { ...sampleContract('orders'), targets: [{}] }]] },
  { claims: [['orders/t0', null]] },
  { holds: [['orders/f', { expiresAt: 'x' }]] },
  { remembered: [['a', { verdict: 7 }]] },
  { touched: [['orders', 7]] },
];

// Any program that may append to the log can leave a snapshot there, and any peer sends its state.
describe('a packed state', () => {
  it('of this version is read, with fields of later versions in its contracts', () => {
    expect(unpackState(packState(STATE))).toEqual(STATE);
    const contracts = [['orders', { ...sampleContract('orders'), later: 7 }]];
    const state = unpackState(pack(plainWith({ contracts })));
    expect(state?.contracts.get('orders')).toMatchObject({ later: 7, slotsPerTarget: 2 });
  });

  describe('of another shape is refused', () => {
    it.each(ODD_FIELDS)('with %j', (patch) => {
      expect(unpackState(pack(plainWith(patch)))).toBeUndefined();
    });

    it('or can be adopted without an exception', () => {
      const oddFields = fc.dictionary(fc.constantFrom(...FIELDS), fc.jsonValue());
      const property = fc.property(oddFields, (patch) => {
        const state = unpackState(pack(plainWith(patch)));
        if (state === undefined) return;
        const store = new ConfigurationStore(new Counters(), new ManualClock());
        store.adopt(state, 'peer');
        const record = changeRecord(sampleChange('b', state.offset, CREATION.operations));
        expect(store.apply([entryOf(store.current.offset + 1, record)])).toBe(true);
        expect(unpackState(packState(store.current))).toBeDefined();
      });
      fc.assert(property, { seed: SEED, numRuns: 500 });
    });
  });
});

describe('findSnapshot', () => {
  // A daemon that adopted such a state would take all later records for known ones.
  it('ignores a snapshot of records that were not yet written', () => {
    const written = (state: ConfigurationState, offset: number) =>
      createSnapshotRecords(state).map((record, index) => entryOf(offset + index, record));
    const entries = [
      ...written({ ...STATE, offset: 4 }, 5),
      ...written({ ...STATE, offset: 900_000, revision: 900_000 }, 6),
    ];
    expect(findSnapshot(entries, 5)?.offset).toBe(4);
  });
});
