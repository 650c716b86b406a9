/**
 * The graceful shutdown of a daemon within its grace time: it passes requests on for a while, then
 * refuses new ones and waits for those in flight; at the end it tells the callers of the rest.
 */
import type { Clock, Logger, StopTimes } from '@cactusrun/core';
import { DIRECTORY_TTL_SECONDS } from './CallerDirectory.js';
import type EntryServer from './EntryServer.js';
import type StopGate from './StopGate.js';

const MILLISECONDS_PER_SECOND = 1_000;
const IDLE_POLL_MILLISECONDS = 50;
/** Time in which the callers of requests that are given up are told. */
const LAST_ANSWERS_MILLISECONDS = 100;

export interface ShutdownParts {
  readonly gate: StopGate;
  readonly entry: Pick<
    EntryServer,
    'requestsInFlight' | 'stopListening' | 'giveUp' | 'closeConnections'
  >;
  /** Number of requests in flight that peers have sent here. */
  readonly requestsOfPeers: () => number;
  readonly stopTimes: StopTimes;
  readonly clock: Clock;
  readonly logger: Logger;
}

export default async function shutDownGracefully(parts: ShutdownParts): Promise<void> {
  const { gate, entry, requestsOfPeers, stopTimes, clock, logger } = parts;
  const startedAt = clock.now();
  const endsAt = startedAt + stopTimes.totalMilliseconds;
  // Callers may still connect because of a cached directory answer, but no longer than that.
  const servingMilliseconds = Math.min(
    stopTimes.servingMilliseconds,
    DIRECTORY_TTL_SECONDS * MILLISECONDS_PER_SECOND,
  );
  gate.beginStop(servingMilliseconds);
  await clock.sleep(servingMilliseconds);
  entry.stopListening();
  await waitUntilIdle(clock, endsAt, () => entry.requestsInFlight + requestsOfPeers());
  logger.info('leaving-done', {
    requestsCut: entry.requestsInFlight,
    requestsOfPeersCut: requestsOfPeers(),
    milliseconds: Math.round(clock.now() - startedAt),
  });
  if (entry.requestsInFlight > 0) {
    entry.giveUp();
    await clock.sleep(LAST_ANSWERS_MILLISECONDS);
  }
  await entry.closeConnections();
}

async function waitUntilIdle(
  clock: Clock,
  endsAt: number,
  requestsInFlight: () => number,
): Promise<void> {
  while (requestsInFlight() > 0 && clock.now() < endsAt) {
    // eslint-disable-next-line no-await-in-loop
    await clock.sleep(Math.min(IDLE_POLL_MILLISECONDS, endsAt - clock.now()));
  }
}
