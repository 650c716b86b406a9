/** What the data path needs from whoever embeds it. */
import type { Clock, Counters, Logger, Random } from '@cactusrun/core';
import type { CallerFieldNames } from './CallerServer.js';
import type { GatewayConfiguration } from './GatewayConfiguration.js';
import type { GatewayStore } from './GatewayStore.js';
import type { RetryBudgetTerms } from './RetryAllowance.js';
import type { TargetFieldNames } from './TargetCall.js';

/** Times of a graceful stop, from the signal on. */
export interface StopTimes {
  /** New connections and requests are still taken for this long. */
  readonly servingMilliseconds: number;
  /** Whatever still runs is cut after this long. */
  readonly totalMilliseconds: number;
}

export interface GatewayOptions {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly regions: Readonly<Record<string, string>>;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
  /** Whether the whole fleet starts now, rather than this daemon alone. */
  readonly isFleetStart: boolean;
  /** From 0 to 1: that of a host which is large enough to serve callers. */
  readonly capacity: number;
  readonly retryBudget: RetryBudgetTerms;
  /** Share of a service's sound targets that must stay at work, from 0 to 1. */
  readonly floorShare: number;
  readonly stopTimes: StopTimes;
  readonly targetFields: TargetFieldNames;
  readonly callerFields: CallerFieldNames;
  readonly store: GatewayStore;
  readonly decode: (document: string) => GatewayConfiguration;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
}
