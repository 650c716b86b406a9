/** The admission of requests over the room of known targets, for tests in one region. */
import { Counters, createRandom, silentLogger } from '@cactusrun/core';
import type { Clock } from '@cactusrun/core';
import RequestAdmission from '../../admission/RequestAdmission.js';
import type { ServiceRoomParts } from '../../admission/ServiceRoom.js';
import ServiceRoom from '../../admission/ServiceRoom.js';

export default function createRequestAdmission(
  clock: Clock,
  parts: Omit<ServiceRoomParts, 'clock' | 'isSameRegion'>,
): RequestAdmission {
  const rooms = new ServiceRoom({ ...parts, isSameRegion: () => true, clock });
  const log = { counters: new Counters(), logger: silentLogger };
  return new RequestAdmission({ rooms, clock, random: createRandom(5), ...log });
}
