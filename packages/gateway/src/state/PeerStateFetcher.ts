/** Fetches the whole state of peers and applies what is newer. */
import type { Logger } from '@cactusrun/core';
import { describeError } from '@cactusrun/core';
import type FleetMembers from '../fleet/FleetMembers.js';
import type GatewayState from './GatewayState.js';
import type { StateSnapshot } from './GatewayState.js';

/** Peers whose state is fetched concurrently. */
const MAXIMUM_FETCHES = 3;

export interface PeerStateFetcherParts {
  readonly state: GatewayState;
  readonly members: FleetMembers;
  readonly fetchState: (address: string, signal: AbortSignal) => Promise<StateSnapshot>;
  readonly logger: Logger;
}

export default class PeerStateFetcher {
  private readonly fetching = new Set<string>();

  constructor(private readonly parts: PeerStateFetcherParts) {}

  /**
   * Fetches the state of one peer; a failure is logged.
   *
   * @returns whether it was fetched; false also when enough fetches are under way
   */
  public async fetchFrom(address: string): Promise<boolean> {
    if (this.fetching.has(address) || this.fetching.size >= MAXIMUM_FETCHES) return false;
    this.fetching.add(address);
    const { state, members, logger, fetchState } = this.parts;
    try {
      const snapshot = await fetchState(address, new AbortController().signal);
      if (snapshot.document !== undefined) state.applyDocument(snapshot.document, address);
      if (snapshot.versions.targets >= 0) {
        state.adoptTargets(snapshot.targets, snapshot.versions.targets, address);
        state.confirm(snapshot.versions.ageMilliseconds);
      }
      members.addAddresses(snapshot.peers);
      return true;
    } catch (error) {
      logger.warn('peer-state-not-fetched', { peer: address, cause: describeError(error) });
      return false;
    } finally {
      this.fetching.delete(address);
    }
  }
}
