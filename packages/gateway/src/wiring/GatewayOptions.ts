/** What the data path needs from the program that embeds it. */
import type { Clock, Counters, Logger, Random, StopTimes } from '@cactusrun/core';
import type { CallerFieldNames } from '../callers/CallerServer.js';
import type { OpenConnection } from '../connections/openConnection.js';
import type { GatewayConfiguration } from '../state/GatewayConfiguration.js';
import type { GatewayStore } from '../state/GatewayStore.js';
import type { RetryBudgetLimits } from '../execution/RetryBudgetShare.js';
import type { QuotaBounds } from '../limits/QuotaBounds.js';
import type { TargetFieldNames } from '../connections/TargetAttempt.js';

export interface GatewayOptions {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  readonly regions: Readonly<Record<string, string>>;
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** `ip:port` for requests that peers relay. */
  readonly relayAddress: string;
  readonly seeds: readonly string[];
  /** Whether the whole fleet starts now, rather than this daemon alone. */
  readonly isFleetStart: boolean;
  /** Capacity for callers' requests, from 0 to 1; a host that is large enough to serve them has 1. */
  readonly capacity: number;
  readonly retryBudget: RetryBudgetLimits;
  /** Time for which keys are accepted after the store last confirmed the configuration. */
  readonly keyTrustMilliseconds: number;
  readonly quotaBounds: QuotaBounds;
  /** Share of a service's healthy targets that must stay in use, from 0 to 1. */
  readonly floorShare: number;
  /** Whether requests of workspaces are admitted by priority and fairly when slots are taken. */
  readonly hasAdmission: boolean;
  /** Hedged requests that operators accept per request of a service, from 0 (none) to 1. */
  readonly hedgeShare: number;
  /** Bytes of bodies and answers that may be held at the same time. */
  readonly memoryBytes: number;
  /** Bytes of answers, out of these, that may be held for callers that have not read them. */
  readonly heldAnswerBytes: number;
  readonly stopTimes: StopTimes;
  readonly targetFields: TargetFieldNames;
  readonly callerFields: CallerFieldNames;
  readonly store: GatewayStore;
  readonly decode: (document: string) => GatewayConfiguration;
  /** Opens connections to targets. */
  readonly openTargetConnection: OpenConnection;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
}
