/** The question of a request with ample time, and the room of a service without free slots, for tests. */
import type { AdmissionQuery } from '../../admission/AdmissionQuery.js';
import type { Room } from '../../admission/Room.js';

export default function createAdmissionQuery(
  overrides: Partial<AdmissionQuery> = {},
): AdmissionQuery {
  return {
    id: 'a',
    service: 's',
    priority: 0,
    workspace: undefined,
    objectiveMilliseconds: 2_000,
    deadline: 10_000,
    signal: new AbortController().signal,
    ...overrides,
  };
}

/** Ten slots, twenty requests: too many for any request to be sent at once. */
export const FULL_ROOM: Room = {
  slots: 10,
  outstanding: 20,
  freeSlots: 0,
  remoteFreeSlots: 0,
  ownOutstanding: 10,
  serviceMilliseconds: 200,
  isOpen: false,
};
