/** The graceful stop of the server of callers' requests. */
import type CallerServer from './CallerServer.js';
import type { GatewayOptions } from './GatewayOptions.js';

/** Serves on for a while, then takes nothing new and lets what runs come to its end. */
export default async function leaveGracefully(
  server: CallerServer,
  options: Pick<GatewayOptions, 'clock' | 'logger' | 'stopTimes'>,
): Promise<void> {
  const { clock, logger, stopTimes } = options;
  const startedAt = clock.now();
  server.beginLeaving();
  await clock.sleep(stopTimes.servingMilliseconds);
  const left = Math.max(0, stopTimes.totalMilliseconds - stopTimes.servingMilliseconds);
  await Promise.race([server.finish(), clock.sleep(left)]);
  logger.info('leaving-done', {
    requestsCut: server.requestsInFlight,
    milliseconds: Math.round(clock.now() - startedAt),
  });
  server.closeNow();
}
