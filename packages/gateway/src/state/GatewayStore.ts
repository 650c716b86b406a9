/** The interface to persistent data: the configuration and the registry of targets. */
import type { TargetChange } from './TargetEntry.js';

/**
 * A position in the history of one kind of record. Later ones are greater, also when the store has
 * been restored from a copy and its history goes on from there.
 */
export type StorePosition = number;

export interface ConfigurationPage {
  readonly position: StorePosition;
  /** The newest document as it was written, if the page holds one. */
  readonly document: string | undefined;
}

export interface TargetPage {
  readonly position: StorePosition;
  /** Whether the page holds the whole registry; otherwise only what changed since. */
  readonly isWhole: boolean;
  /**
   * Whether the store has been restored from a copy since the position that was asked for: the page
   * may lack entries that their targets write again soon.
   */
  readonly isRestored: boolean;
  readonly changes: readonly TargetChange[];
}

export interface GatewayStore {
  /** Number of times that the store is known to have been restored; what was written is lost then. */
  readonly restorations: number;
  /**
   * Reads what was written after a position, or the newest document without one.
   *
   * @param waitMilliseconds - how long the store may hold the read until there is something new
   * @throws CactusrunError when the store refuses or does not answer
   */
  readConfiguration(
    after: StorePosition | undefined,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<ConfigurationPage>;
  /** Reads changes after a position, or the whole registry without one; returns at once. */
  readTargets(after: StorePosition | undefined, signal: AbortSignal): Promise<TargetPage>;
  /** Reads the heartbeat addresses that daemons published for those that find no peer. */
  readPeers(signal: AbortSignal): Promise<readonly string[]>;
  /** Publishes heartbeat addresses for daemons that start later. */
  writePeers(group: string, addresses: readonly string[], signal: AbortSignal): Promise<void>;
}
