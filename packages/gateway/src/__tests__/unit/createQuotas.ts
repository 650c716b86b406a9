/** Quotas of workspaces for tests, at a daemon without peers in a fleet of one region. */
import type { Clock } from '@cactusrun/core';
import { Counters, silentLogger } from '@cactusrun/core';
import { DEFAULT_QUOTA_BOUNDS } from '../../limits/QuotaBounds.js';
import QuotaRefusals from '../../limits/QuotaRefusals.js';
import WorkspaceQuotas from '../../limits/WorkspaceQuotas.js';

export default function createQuotas(clock: Clock): WorkspaceQuotas {
  return new WorkspaceQuotas({
    bounds: DEFAULT_QUOTA_BOUNDS,
    regions: 1,
    share: { ofRegion: () => 1 },
    entryNames: () => [],
    incarnation: 1,
    refusals: new QuotaRefusals(clock, new Counters(), silentLogger),
    clock,
  });
}
