/** Reads the configuration from the store with long polls, of which any answer may be lost. */
import type { Clock } from '@cactusrun/core';
import type GatewayState from './GatewayState.js';
import type { GatewayStore, StorePosition } from './GatewayStore.js';

/** Longest time that the store holds a read of the configuration; short, as the answer may be lost. */
const LONG_POLL_MILLISECONDS = 900;
/** Time after which a missing answer counts as lost; allows for distant hosts and a slow store. */
const ANSWER_TIMEOUT_MILLISECONDS = 600;

export interface ConfigurationReaderParts {
  readonly store: GatewayStore;
  readonly state: GatewayState;
  readonly clock: Clock;
}

export default class ConfigurationReader {
  /** Undefined before the first read, which returns the newest document at once. */
  private position: StorePosition | undefined;

  /** Set when the answer to the last long poll was lost: the store does not hold the next read. */
  private isLongPollLost = false;

  constructor(private readonly parts: ConfigurationReaderParts) {}

  /** Makes the next read return the newest document at once. */
  public reset(): void {
    this.position = undefined;
  }

  /**
   * Reads and applies the next document.
   *
   * @returns whether there was one; false also when the answer to a long poll was lost
   * @throws CactusrunError when the store refuses or does not answer
   */
  public async read(signal: AbortSignal): Promise<boolean> {
    const { clock, state, store } = this.parts;
    const isLongPoll = this.position !== undefined && !this.isLongPollLost;
    const wait = isLongPoll ? LONG_POLL_MILLISECONDS : 0;
    const timeout = new AbortController();
    const cancel = clock.after(wait + ANSWER_TIMEOUT_MILLISECONDS, () => {
      if (isLongPoll) timeout.abort();
    });
    this.isLongPollLost = false;
    try {
      const eitherSignal = AbortSignal.any([signal, timeout.signal]);
      const { position, document } = await store.readConfiguration(
        this.position,
        wait,
        eitherSignal,
      );
      this.position = position;
      if (document !== undefined) state.applyDocument(document, 'store');
      return document !== undefined;
    } catch (error) {
      if (signal.aborted || !timeout.signal.aborted) throw error;
      this.isLongPollLost = true;
      return false;
    } finally {
      cancel();
    }
  }

  /** Reads the newest document, whatever was read before. */
  public async readNewest(signal: AbortSignal): Promise<void> {
    const { state, store } = this.parts;
    const { document } = await store.readConfiguration(undefined, 0, signal);
    if (document !== undefined) state.applyDocument(document, 'store');
  }
}
