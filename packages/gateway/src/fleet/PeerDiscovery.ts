/**
 * Finds peers through the store when the settings name none that are alive: the first daemon of a
 * region publishes the addresses that it knows, and a daemon without live members reads them.
 */
import type { Clock, Logger, Stop } from '@cactusrun/core';
import { describeError, repeatUntilAborted, startTask } from '@cactusrun/core';
import { isAddress } from './fieldChecks.js';
import type FleetMembers from './FleetMembers.js';
import type { GatewayStore } from '../state/GatewayStore.js';

/** Time for the peers named in the settings to answer. */
const SEED_ANSWER_MILLISECONDS = 1_000;
/** Pause between two checks; also bounds how often addresses are written. */
const CHECK_INTERVAL_MILLISECONDS = 5_000;

export interface PeerDiscoveryParts {
  readonly name: string;
  readonly address: string;
  readonly store: GatewayStore;
  readonly members: FleetMembers;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Looks for peers until the returned function is called. */
export function startPeerDiscovery(parts: PeerDiscoveryParts): Stop {
  const { clock, members, logger } = parts;
  let written = '';
  let writtenAfterRestorations = 0;
  const step = async (signal: AbortSignal) => {
    if (members.live().length === 0) await readPeers(parts, signal);
    if (members.rank() > 0) return;
    const addresses = [parts.address, ...members.liveAddresses()].sort();
    const text = addresses.join(',');
    const { restorations } = parts.store;
    if (text === written && restorations === writtenAfterRestorations) return;
    await parts.store.writePeers(parts.name, addresses, signal);
    written = text;
    writtenAfterRestorations = restorations;
  };
  return startTask(
    async (signal) => {
      await clock.sleep(SEED_ANSWER_MILLISECONDS, signal);
      await repeatUntilAborted(signal, async () => {
        await step(signal).catch((error: unknown) => {
          if (signal.aborted) return;
          logger.info('peer-addresses-unavailable', { cause: describeError(error) });
        });
        await clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal);
      });
    },
    () => {},
  );
}

async function readPeers(parts: PeerDiscoveryParts, signal: AbortSignal): Promise<void> {
  const listed = await parts.store.readPeers(signal);
  const addresses = listed.filter(isAddress);
  parts.members.addAddresses(addresses.map((address) => ({ address })));
  parts.logger.info('peer-addresses-read', {
    addresses: addresses.length,
    unreadable: listed.length - addresses.length,
  });
}
