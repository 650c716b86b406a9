import { describe, expect, it } from 'vitest';
import { create, MemberUpdateSchema } from '@cactusrun/protocol';
import { fromUpdate } from '../../Member.js';

const COMPLETE = {
  name: 'host-1',
  incarnation: 'i',
  heartbeatAddress: '127.0.0.1:1',
  peerAddress: '127.0.0.1:2',
  state: 'alive',
  version: 7,
};

describe('fromUpdate', () => {
  it('decodes a complete update', () => {
    const member = fromUpdate(create(MemberUpdateSchema, COMPLETE));
    expect(member).toMatchObject({ state: 'alive', version: 7, host: { name: 'host-1' } });
  });

  // A client to a peer without an address throws where a shard is handed over or a crash reported.
  describe('refuses an update', () => {
    const patches: readonly Partial<typeof COMPLETE>[] = [
      { name: '' },
      { incarnation: '' },
      { heartbeatAddress: '' },
      { peerAddress: '' },
      { state: 'asleep' },
      { version: Number.NaN },
    ];
    it.each(patches)('with %j', (patch) => {
      expect(fromUpdate(create(MemberUpdateSchema, { ...COMPLETE, ...patch }))).toBeUndefined();
    });
  });
});
