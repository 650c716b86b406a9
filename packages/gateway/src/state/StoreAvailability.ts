/** Whether the store answers, what is done while it does not, and when to try again. */
import type { Clock, Logger, Random } from '@cactusrun/core';
import { describeError, pickOne } from '@cactusrun/core';
import type FleetMembers from '../fleet/FleetMembers.js';
import type GatewayState from './GatewayState.js';

/** Time from the start of a failed call to the next one, doubled up to the maximum. */
const RETRY_DELAY_MILLISECONDS = 400;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 1_000;
/** While the store does not answer, state is fetched from one of this many most recent peers. */
const RECENT_PEERS = 24;

export interface StoreAvailabilityParts {
  readonly members: FleetMembers;
  readonly state: GatewayState;
  /** Fetches the state of the peer at an address. */
  readonly fetchFrom: (address: string) => Promise<boolean>;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** A call to the store that failed. */
export interface FailedCall {
  readonly step: string;
  /** Monotonic time at which it was made. */
  readonly startedAt: number;
  readonly error: unknown;
}

export default class StoreAvailability {
  private failures = 0;

  private isLost = false;

  constructor(private readonly parts: StoreAvailabilityParts) {}

  public recordSuccess(): void {
    this.failures = 0;
    if (!this.isLost) return;
    this.isLost = false;
    this.parts.logger.info('store-regained');
  }

  /** Records a failed call, and has the state of a peer fetched instead. */
  public handleFailure(step: string, error: unknown): void {
    const { members, random, logger, fetchFrom } = this.parts;
    this.failures += 1;
    if (!this.isLost) {
      this.isLost = true;
      logger.warn('store-lost', { step, cause: describeError(error) });
    }
    const known = members.knownAddresses().map(({ address }) => address);
    const address = pickOne(random, known.slice(-RECENT_PEERS));
    if (address !== undefined) fetchFrom(address).catch(() => {});
  }

  /**
   * Handles a failed call, and waits before the next one: until the store has answered a peer after an
   * outage, or else for a while. Calls that took long to fail are not kept further apart.
   */
  public async recover({ step, startedAt, error }: FailedCall, signal: AbortSignal): Promise<void> {
    const { state, clock } = this.parts;
    const retry = new AbortController();
    const unsubscribe = state.storeContact.subscribe(() => retry.abort());
    this.handleFailure(step, error);
    const nextAt = startedAt + this.nextPause();
    await clock.sleep(Math.max(0, nextAt - clock.now()), AbortSignal.any([signal, retry.signal]));
    unsubscribe();
  }

  private nextPause(): number {
    const pause = RETRY_DELAY_MILLISECONDS * 2 ** Math.min(4, this.failures - 1);
    const jitter = 0.75 + this.parts.random.unit() / 2;
    return Math.min(MAXIMUM_RETRY_DELAY_MILLISECONDS, pause) * jitter;
  }
}
