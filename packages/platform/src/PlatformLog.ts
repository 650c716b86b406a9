/** The narrow interface to the platform's append-only log. */
import type { LogEntry } from '@cactusrun/configuration';
import { CactusrunError } from '@cactusrun/core';

/**
 * Whether a failed call to the platform took effect. `refused`: it did not. `in-doubt`: it may
 * have; an append must then be retried with the same identity.
 */
export type PlatformFailure = 'refused' | 'in-doubt';

export class PlatformError extends CactusrunError {
  public override readonly name = 'PlatformError';

  constructor(
    message: string,
    step: string,
    public readonly failure: PlatformFailure,
    cause?: unknown,
  ) {
    super(message, { step, peer: 'platform' }, cause);
  }
}

export interface LogPage {
  /** The oldest offset that the log still holds. */
  readonly firstOffset: number;
  /** The offset that the next append will get. */
  readonly nextOffset: number;
  readonly entries: readonly LogEntry[];
}

export interface PlatformLog {
  /**
   * Appends a record.
   *
   * @returns its offset
   * @throws PlatformError
   */
  append(data: string): Promise<number>;
  /**
   * Reads records from an offset on; waits for one if there is none yet.
   *
   * @throws PlatformError
   */
  read(from: number, waitMilliseconds: number, signal?: AbortSignal): Promise<LogPage>;
}

/** Entry of the platform's host list, which may be out of date. */
export interface ListedHost {
  readonly name: string;
  readonly kind: 'entry' | 'upstream';
  /** Of an entry host, the heartbeat address; of an upstream host, the target's address. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

export interface HostList {
  /** @throws PlatformError */
  list(): Promise<readonly ListedHost[]>;
}
