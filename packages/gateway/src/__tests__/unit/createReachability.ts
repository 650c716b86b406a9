/** The reachability of targets for tests; connections are established unless told otherwise. */
import { Socket } from 'node:net';
import type { Clock } from '@cactusrun/core';
import { Counters, createRandom, silentLogger } from '@cactusrun/core';
import type { TargetReachabilityParts } from '../../reachability/TargetReachability.js';
import TargetReachability from '../../reachability/TargetReachability.js';

/** A socket that is connected in the next turn of the event loop. */
export function connectAtOnce(): Socket {
  const socket = new Socket();
  queueMicrotask(() => socket.emit('connect'));
  return socket;
}

/** A socket whose connection is refused in the next turn of the event loop. */
export function refuseAtOnce(): Socket {
  const socket = new Socket();
  queueMicrotask(() => socket.destroy(new Error('connection refused')));
  return socket;
}

/** A socket that neither connects nor fails. */
export function connectNever(): Socket {
  return new Socket();
}

export default function createReachability(
  clock: Clock,
  overrides: Partial<TargetReachabilityParts> = {},
): TargetReachability {
  return new TargetReachability({
    targets: { list: () => [] },
    openConnection: connectAtOnce,
    isEntry: () => false,
    clock,
    random: createRandom(1),
    counters: new Counters(),
    logger: silentLogger,
    ...overrides,
  });
}
