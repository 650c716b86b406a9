/** A registry entry for tests: a ready target of service `s` in zone `z`, with two slots. */
import type { TargetEntry } from '../../state/TargetEntry.js';

export default function createTargetEntry(
  id: string,
  overrides: Partial<TargetEntry> = {},
): TargetEntry {
  return {
    id,
    address: '127.0.0.1:1',
    service: 's',
    zone: 'z',
    slots: 2,
    isLeaving: false,
    coldMilliseconds: 0,
    bornAt: 1,
    sequence: 1,
    ...overrides,
  };
}
