/** The graceful shutdown of the server for callers. */
import type CallerServer from './CallerServer.js';
import type { GatewayOptions } from '../wiring/GatewayOptions.js';

/** Requests that are logged one by one when they are cut; all of them are counted. */
const MAXIMUM_LOGGED_REQUESTS = 50;

/** Time in which those whose requests are given up are told; part of the reserve for the exit. */
const LAST_ANSWERS_MILLISECONDS = 100;

/** Keeps serving for a while, then passes nothing new on and waits for the requests in flight. */
export default async function shutDownGracefully(
  server: CallerServer,
  options: Pick<GatewayOptions, 'clock' | 'logger' | 'stopTimes'>,
): Promise<void> {
  const { clock, logger, stopTimes } = options;
  const startedAt = clock.now();
  const endsAt = startedAt + stopTimes.totalMilliseconds;
  server.beginDraining(stopTimes.servingMilliseconds);
  await clock.sleep(stopTimes.servingMilliseconds);
  await Promise.race([server.finishDraining(), clock.sleep(Math.max(0, endsAt - clock.now()))]);
  logCutRequests(server, options);
  logger.info('leaving-done', {
    requestsCut: server.requestsInFlight,
    milliseconds: Math.round(clock.now() - startedAt),
  });
  if (server.requestsInFlight > 0) {
    server.giveUp();
    await clock.sleep(LAST_ANSWERS_MILLISECONDS);
  }
  server.closeNow();
}

function logCutRequests(
  server: CallerServer,
  { clock, logger }: Pick<GatewayOptions, 'clock' | 'logger'>,
): void {
  server.unanswered.slice(0, MAXIMUM_LOGGED_REQUESTS).forEach(({ head, stage }) =>
    logger.warn('request-cut', {
      request: head.id,
      reason: 'stopped',
      stage,
      milliseconds: Math.round(clock.now() - head.receivedAt),
    }),
  );
}
