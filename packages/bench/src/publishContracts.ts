/** Publishes a deployment's contracts through one daemon, as an operator would. */
import { randomUUID } from 'node:crypto';
import { OperatorClient } from '@cactusrun/command-line';
import type { Clock } from '@cactusrun/core';
import { CactusrunError } from '@cactusrun/core';
import type { DeploymentName } from './Deployment.js';
import { readContracts } from './Deployment.js';
import type Fleet from './Fleet.js';
import { operatorAddress } from './Fleet.js';

const LIMIT_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 20;

/**
 * Publishes and waits until the revision is in force on every daemon of the fleet.
 *
 * @returns the time from the operator's request to the last daemon, in milliseconds
 * @throws CactusrunError when the change is refused or does not arrive in time
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
  const isEverywhere = () =>
    fleet.daemons.every((daemon) => daemon.store.current.revision >= (reply.revision ?? 0));
  while (!isEverywhere()) {
    if (clock.now() - startedAt > LIMIT_MILLISECONDS) {
      throw new CactusrunError('not in force everywhere in time', { step: 'publishing' });
    }
    // eslint-disable-next-line no-await-in-loop
    await clock.sleep(POLL_MILLISECONDS);
  }
  return clock.now() - startedAt;
}
