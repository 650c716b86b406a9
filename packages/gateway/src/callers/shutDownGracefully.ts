/** The graceful shutdown of the server for callers. */
import type CallerServer from './CallerServer.js';
import type { GatewayOptions } from '../wiring/GatewayOptions.js';

/** Keeps serving for a while, then accepts nothing new and waits for the requests in flight. */
export default async function shutDownGracefully(
  server: CallerServer,
  options: Pick<GatewayOptions, 'clock' | 'logger' | 'stopTimes'>,
): Promise<void> {
  const { clock, logger, stopTimes } = options;
  const startedAt = clock.now();
  server.beginDraining();
  await clock.sleep(stopTimes.servingMilliseconds);
  const remaining = Math.max(0, stopTimes.totalMilliseconds - stopTimes.servingMilliseconds);
  await Promise.race([server.finishDraining(), clock.sleep(remaining)]);
  logger.info('leaving-done', {
    requestsCut: server.requestsInFlight,
    milliseconds: Math.round(clock.now() - startedAt),
  });
  server.closeNow();
}
