/* eslint-disable no-console */
import { Counters, systemClock } from '@cactusrun/core';
import { ConfigurationStore, encodeRecord } from '@cactusrun/configuration';

const store = new ConfigurationStore(new Counters(), systemClock);
const contract = { service: 'stock', region: 'west', slotsPerTarget: 2, targets: [], routes: [] };
const data = encodeRecord({
  kind: 'change',
  identity: 'first',
  author: 'me',
  baseRevision: -1,
  operations: [{ kind: 'create-contract', contract }],
});
store.apply([{ offset: 0, timestamp: 0, data }]);
console.log(store.current.revision, [...store.current.contracts.keys()]);
