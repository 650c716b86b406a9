/** Guards against changes that are announced again after a later state has replaced them. */
import { ManualClock, silentLogger } from '@cactusrun/core';
import { describe, expect, it } from 'vitest';
import FleetMembers from '../../fleet/FleetMembers.js';
import type { PeerMessage } from '../../fleet/PeerMessage.js';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import GatewayState from '../../state/GatewayState.js';
import RegistryReader from '../../state/RegistryReader.js';
import TargetTable from '../../state/TargetTable.js';
import MemoryStore from './MemoryStore.js';
import createPeerDescription from './createPeerDescription.js';
import createTargetEntry from './createTargetEntry.js';

describe('RegistryReader', () => {
  describe('an answer of the store that a later state of a peer has overtaken', () => {
    it('is neither applied nor announced', async () => {
      const clock = new ManualClock();
      const table = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
      const decode = () => {
        throw new Error('no configuration in this test');
      };
      const state = new GatewayState(decode, table, clock, silentLogger, () => {});
      const store = new MemoryStore();
      const sent: PeerMessage[] = [];
      const reader = new RegistryReader({
        store,
        state,
        members: new FleetMembers(
          () => createPeerDescription('m'),
          clock,
          silentLogger,
          () => {},
        ),
        link: {
          send: (_addresses, message) => {
            sent.push(message);
            return true;
          },
        },
        clock,
        selfName: 'm',
      });
      const { signal } = new AbortController();
      store.log.push({ kind: 'present', entry: createTargetEntry('t') });
      await reader.read(() => {}, signal);
      await clock.advance(3_000);
      store.log.push({ kind: 'removed', id: 't' });
      const reading = reader.read(() => {}, signal);
      const returned = createTargetEntry('t', { sequence: 2 });
      state.adoptTargets([returned], 3, 'n:1');
      await reading;
      expect(table.get('t')?.entry).toEqual(returned);
      const last = sent.at(-1);
      expect(last?.kind === 'news' && last.changes).toEqual([]);
    });
  });
});
