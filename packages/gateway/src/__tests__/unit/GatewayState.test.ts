/**
 * Guards against a configuration with a fault that displaces the one in force, and against a log that
 * repeats the fault at each read of the same document.
 */
import type { LogFields } from '@cactusrun/core';
import { ManualClock } from '@cactusrun/core';
import { beforeEach, describe, expect, it } from 'vitest';
import { DEFAULT_HEALTH_MODEL_PARAMETERS } from '../../health/TargetHealthEstimate.js';
import ConfigurationRefusedError from '../../state/ConfigurationRefusedError.js';
import type { GatewayConfiguration } from '../../state/GatewayConfiguration.js';
import GatewayState from '../../state/GatewayState.js';
import TargetTable from '../../state/TargetTable.js';

const LIMITS = { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 };

/** Understands documents without an exclamation mark. */
function decode(document: string): GatewayConfiguration {
  const version = Number.parseInt(document, 10);
  if (document.includes('!')) {
    throw new ConfigurationRefusedError('entry 3: has no name', version, { step: 'decoding' });
  }
  return { version, limits: LIMITS, routes: new Map(), workspaces: undefined };
}

describe('GatewayState', () => {
  let state: GatewayState;
  let warnings: (readonly [string, LogFields | undefined])[];

  beforeEach(() => {
    warnings = [];
    const clock = new ManualClock();
    const logger = {
      info: () => {},
      warn: (event: string, fields?: LogFields) => warnings.push([event, fields]),
    };
    const table = new TargetTable(clock, DEFAULT_HEALTH_MODEL_PARAMETERS);
    state = new GatewayState(decode, table, clock, logger, () => {});
  });

  describe('a document that cannot be decoded', () => {
    beforeEach(() => state.applyDocument('5', 'store'));

    it('leaves the configuration in force', () => {
      state.applyDocument('6!', 'store');
      expect(state.configuration?.version).toBe(5);
      expect(state.document).toBe('5');
    });

    it('is logged once, with its place, from whatever source it comes again', () => {
      state.applyDocument('6!', 'store');
      state.applyDocument('6!', 'store');
      state.applyDocument('6!', 'peer');
      expect(warnings).toEqual([
        [
          'configuration-not-understood',
          {
            version: 6,
            inForce: 5,
            source: 'store',
            cause: 'entry 3: has no name (decoding)',
          },
        ],
      ]);
    });

    it('is logged again when it was written anew with a fault', () => {
      state.applyDocument('6!', 'store');
      state.applyDocument('6!!', 'store');
      expect(warnings).toHaveLength(2);
    });

    it('does not stand in the way of the same version without the fault', () => {
      state.applyDocument('6!', 'store');
      state.applyDocument('6', 'store');
      expect(state.configuration?.version).toBe(6);
    });
  });

  describe('lacksUsableDocument', () => {
    it('is set by a refused document until another one is in force', () => {
      expect(state.lacksUsableDocument).toBe(false);
      state.applyDocument('6!', 'store');
      expect(state.lacksUsableDocument).toBe(true);
      expect(state.hasRefused(6)).toBe(true);
      state.applyDocument('7', 'store');
      expect(state.lacksUsableDocument).toBe(false);
    });
  });
});
