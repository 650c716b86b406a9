/**
 * Guards against a workspace that gets more than its quota when its demand leaps in the moment of a
 * cut, and against refusals of a demand that uses the whole quota.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type QuotaFleet from './QuotaFleet.js';
import {
  allowedInWindow,
  nothingRefused,
  play,
  PROPERTY_TIMEOUT_MILLISECONDS,
  scenarios,
  SEED,
} from './quotaScenarios.js';

const RUNS = 60;
const WHOLE = { rate: 1, burst: 1 };

describe('WorkspaceQuotas of a fleet in two regions', () => {
  describe('keep the quota in every window when demand leaps to six times it', () => {
    const CUTS: Readonly<Record<string, (fleet: QuotaFleet) => void>> = {
      'as a zone is cut off': (fleet) => {
        fleet.connect((one, other) => (one.zone === 'a') === (other.zone === 'a'));
      },
      'as one daemon is cut off': (fleet) => {
        const alone = fleet.daemons[4];
        fleet.connect((one, other) => one !== alone && other !== alone);
      },
    };
    Object.entries(CUTS).forEach(([name, change]) => {
      it(name, { timeout: PROPERTY_TIMEOUT_MILLISECONDS }, () => {
        fc.assert(
          fc.property(scenarios, (given) => {
            const leap = { ...given, laterFactor: 6 as const };
            const most = play(leap, change, Number.POSITIVE_INFINITY).countMostInWindow();
            expect(most).toBeLessThanOrEqual(allowedInWindow(given.quota));
          }),
          { seed: SEED, numRuns: RUNS },
        );
      });
    });
  });

  it(
    'refuse nothing of a demand that uses the whole quota while no message is lost',
    { timeout: PROPERTY_TIMEOUT_MILLISECONDS },
    () => {
      fc.assert(nothingRefused(WHOLE), { seed: SEED, numRuns: RUNS });
    },
  );
});
