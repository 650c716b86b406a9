/** Tests whether a connection to a target can be established; nothing is sent on it. */
import type { Clock } from '@cactusrun/core';
import type { OpenConnection } from '../connections/openConnection.js';
import { CONNECT_TIMEOUT_MILLISECONDS, openAddress } from '../connections/openConnection.js';

/** @param address - `ip:port` of the target */
export default function probeTarget(
  address: string,
  openConnection: OpenConnection,
  clock: Clock,
): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = openAddress(openConnection, address);
    let cancelTimer = () => {};
    const settle = (isReached: boolean) => {
      cancelTimer();
      socket.destroy();
      resolve(isReached);
    };
    cancelTimer = clock.after(CONNECT_TIMEOUT_MILLISECONDS, () => settle(false));
    socket.once('connect', () => settle(true));
    socket.on('error', () => settle(false));
  });
}
