/** Publishes a deployment's contracts through the operator interface of the first daemon. */
import { randomUUID } from 'node:crypto';
import { OperatorClient } from '@cactusrun/command-line';
import type { Clock } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';
import type { DeploymentName } from './Deployment.js';
import { readContracts } from './Deployment.js';
import type Fleet from './Fleet.js';
import { operatorAddress } from './Fleet.js';

const TIMEOUT_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 20;

/**
 * Publishes the contracts and waits until every daemon of the fleet has applied the revision.
 *
 * @returns the time from the request until the last daemon applied it, in milliseconds
 * @throws CactusrunError if the change is refused or not applied everywhere in time
 */
export default async function publishContracts(
  fleet: Fleet,
  name: DeploymentName,
  clock: Clock,
): Promise<number> {
  const startedAt = clock.now();
  const client = new OperatorClient(operatorAddress(0));
  const reply = await client.change({
    identity: randomUUID(),
    author: 'bench',
    script: await readContracts(name),
    isDryRun: false,
  });
  if (reply.kind !== 'accepted') {
    throw new CactusrunError(JSON.stringify(reply), { step: 'publishing the contracts' });
  }
  const isInForce = () =>
    fleet.daemons.every((daemon) => daemon.store.current.revision >= (reply.revision ?? 0));
  while (!isInForce()) {
    if (clock.now() - startedAt > TIMEOUT_MILLISECONDS) {
      throw new CactusrunError('timed out before every daemon applied the contracts', {
        step: 'publishing',
      });
    }
    // eslint-disable-next-line no-await-in-loop
    await clock.sleep(POLL_MILLISECONDS);
  }
  return clock.now() - startedAt;
}
