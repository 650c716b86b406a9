/** Lost targets for tests; a try to connect fails unless the test says otherwise. */
import type { ManualClock } from '@cactusrun/core';
import { Counters, silentLogger } from '@cactusrun/core';
import type { LostTargetsParts } from '../../reachability/LostTargets.js';
import LostTargets from '../../reachability/LostTargets.js';

export default function createLostTargets(
  clock: ManualClock,
  targets: LostTargetsParts['targets'],
  probe: LostTargetsParts['probe'] = async () => false,
): LostTargets {
  const counters = new Counters();
  return new LostTargets({ targets, probe, clock, counters, logger: silentLogger });
}
