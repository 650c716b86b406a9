import type { Target } from '@cactusrun/core';
import { systemClock } from '@cactusrun/core';
import type { Attempt, TargetResult } from '@cactusrun/requests';
import type HttpTargetConnector from '../../HttpTargetConnector.js';

const DEADLINE_MILLISECONDS = 5_000;

/** Sends an idempotent request without a body to the target at an `ip:port`. */
export function sendToTarget(
  connector: HttpTargetConnector,
  address: string,
  signal: AbortSignal,
  method = 'GET',
): Promise<TargetResult> {
  const target = { address } as Target;
  const attempt = {
    service: 's',
    method,
    path: '/x',
    headers: [],
    body: { head: Buffer.alloc(0), isWhole: true },
    callerZone: 'z',
    deadline: systemClock.now() + DEADLINE_MILLISECONDS,
  } as unknown as Attempt;
  return connector.send(target, attempt, signal, () => {});
}

/** Whether the whole body of the answer arrives. */
export async function isWhole(result: TargetResult): Promise<boolean> {
  if (result.kind !== 'answered') return false;
  return new Promise((resolve) => {
    result.body.on('data', () => {});
    result.body.on('end', () => resolve(true));
    result.body.on('error', () => resolve(false));
    result.body.on('close', () => resolve(false));
  });
}
