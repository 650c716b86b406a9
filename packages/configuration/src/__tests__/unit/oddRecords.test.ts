import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Counters, ManualClock } from '@cactusrun/core';
import ConfigurationStore from '../../ConfigurationStore.js';
import type { Operation } from '../../Change.js';
import { changeRecord, entryOf, sampleChange, sampleContract } from './sampleContracts.js';

const SEED = 20_261_205;
const NESTING_DEPTH = 20_000;
const KINDS = [
  'create-contract',
  'change-contract',
  'withdraw-contract',
  'drain-target',
  'return-target',
  'lift-hold',
];
const FIELDS = ['service', 'target', 'contract', 'patch', 'fingerprint'];

const create = (service: string): Operation => ({
  kind: 'create-contract',
  contract: sampleContract(service),
});

/** As JSON, since writing such a value as JSON exceeds the stack. */
const DEEP_LIST = `${'['.repeat(NESTING_DEPTH)}${']'.repeat(NESTING_DEPTH)}`;

const oddOperation = fc
  .tuple(
    fc.constantFrom(...KINDS),
    fc.dictionary(fc.constantFrom(...FIELDS), fc.oneof(fc.jsonValue(), fc.constant('orders'))),
  )
  .map(([kind, fields]) => JSON.stringify({ ...fields, kind }));

// Whoever may append to the log can leave a record of any shape in it; it is read again after
// every start, by every daemon.
describe('a record of the log with an odd operation', () => {
  /** Applies the operation, given as JSON, between two sound changes; returns the store. */
  function follow(operation: string): ConfigurationStore {
    const store = new ConfigurationStore(new Counters(), new ManualClock());
    const odd = `{"kind":"change","identity":"odd","author":"a","baseRevision":0,"operations":[${operation}]}`;
    const entries = [
      entryOf(0, changeRecord(sampleChange('first', -1, [create('orders')]))),
      { offset: 1, timestamp: 1_000, data: odd },
      entryOf(2, changeRecord(sampleChange('last', 0, [create('stock')]))),
    ];
    entries.forEach((entry) => store.apply([entry]));
    return store;
  }

  const cases: Readonly<Record<string, string>> = {
    'without a contract': '{"kind":"create-contract"}',
    'with a contract that is null': '{"kind":"create-contract","contract":null}',
    'with a deep contract': `{"kind":"create-contract","contract":${DEEP_LIST}}`,
    'with a deep service': `{"kind":"create-contract","contract":{"service":${DEEP_LIST}}}`,
    'with a service that is no text': '{"kind":"withdraw-contract","service":{"toString":7}}',
    'with a deep target': `{"kind":"drain-target","service":"orders","target":${DEEP_LIST}}`,
    'without a service': '{"kind":"change-contract","patch":{}}',
    'with a deep patch': `{"kind":"change-contract","service":"orders","patch":{"targets":${DEEP_LIST}}}`,
    'of an inherited name': '{"kind":"constructor"}',
  };

  describe('does not keep a daemon from the records after it', () => {
    Object.entries(cases).forEach(([name, operation]) => {
      it(name, () => {
        const { current } = follow(operation);
        expect(current.offset).toBe(2);
        expect([...current.contracts.keys()]).toEqual(['orders', 'stock']);
      });
    });

    it('of any shape', () => {
      const property = fc.property(oddOperation, (operation) => {
        const { current } = follow(operation);
        expect(current.offset).toBe(2);
        expect(current.contracts.has('stock')).toBe(true);
      });
      fc.assert(property, { seed: SEED, numRuns: 500 });
    });
  });

  it('is a change that is refused, and no gap, which would prevent snapshots for good', () => {
    const { current } = follow('{"kind":"create-contract"}');
    expect(current.gaps).toEqual([]);
    expect(current.remembered.get('odd')?.verdict).toMatchObject({
      kind: 'refused',
      reason: 'operation-invalid',
    });
  });
});
