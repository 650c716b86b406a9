/** Starts what a daemon does besides its requests. */
import type { Stop } from '@cactusrun/core';
import { mergeStops, repeatUntilAborted, startTask } from '@cactusrun/core';
import type OperatorServer from './OperatorServer.js';
import type { Control, DaemonContext } from './wireControl.js';
import type { Targets } from './wireTargets.js';

const REFRESH_MILLISECONDS = 500;
const EJECTION_REVIEW_MILLISECONDS = 200;
const LEASE_RENEWAL_MILLISECONDS = 5_000;
/** Relative variation of a period, so that daemons do not act in step. */
const PERIOD_JITTER = 0.1;

export interface BackgroundParts {
  readonly operators: OperatorServer;
  /** Updates the kept shards to the current members, and announces this daemon. */
  readonly refresh: () => void;
  /** Called when a newer daemon with the same host name has joined. */
  readonly onReplaced: () => void;
}

/** @throws CactusrunError when an address cannot be bound */
export default async function startBackground(
  context: DaemonContext,
  control: Control,
  targets: Targets,
  { operators, refresh, onReplaced }: BackgroundParts,
): Promise<Stop> {
  const { clients, transport, platform, store, membership } = control;
  const { connector, prober, registry, leases } = targets;
  const stopMembershipListener = membership.listen((event) => {
    if (event.kind === 'replaced') onReplaced();
    refresh();
  });
  const stopStoreListener = store.listen(() => {
    targets.syncHolds();
    refresh();
  });
  return mergeStops([
    async () => clients.close(),
    async () => connector.close(),
    transport.stop,
    async () => platform.close(),
    async () => stopStoreListener(),
    async () => stopMembershipListener(),
    await operators.start(),
    membership.start(),
    control.hosts.start(),
    control.follower.start(),
    control.snapshots.start(),
    control.sync.start(),
    prober.start(),
    startPeriodic(context, REFRESH_MILLISECONDS, refresh),
    startPeriodic(context, EJECTION_REVIEW_MILLISECONDS, () => registry.reviewEjections()),
    startPeriodic(context, LEASE_RENEWAL_MILLISECONDS, () => leases.renew()),
  ]);
}

/** Repeats a step with pauses that vary around the period. */
function startPeriodic(
  { clock, random, logger }: DaemonContext,
  milliseconds: number,
  step: () => Promise<void> | void,
): Stop {
  const pickPause = () => milliseconds * (1 - PERIOD_JITTER + 2 * PERIOD_JITTER * random.unit());
  return startTask(
    (signal) =>
      repeatUntilAborted(signal, async () => {
        await step();
        await clock.sleep(pickPause(), signal);
      }),
    (error) => logger.warn('task-failed', { error: String(error) }),
  );
}
