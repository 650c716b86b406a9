/**
 * Targets that stated in an answer that they are leaving. The registry may list such a target as ready
 * for longer, lose its entry and bring it back; only its next process may be used again.
 */
import type { Clock, Counters, Logger } from '@cactusrun/core';
import type { LeavingTarget } from '../fleet/PeerMessage.js';

/** Longer than any target takes to leave. */
const RETENTION_MILLISECONDS = 3_600_000;
/** Peers are told of a leaving target for this long, in case they missed it. */
const REPORT_MILLISECONDS = 30_000;

interface LeavingProcess {
  /** Start of the process that leaves, in milliseconds since the epoch. */
  readonly bornAt: number;
  /** Monotonic time at which this daemon learned of it. */
  readonly knownSince: number;
}

export interface LeavingTargetsParts {
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class LeavingTargets {
  private readonly processes = new Map<string, LeavingProcess>();

  constructor(private readonly parts: LeavingTargetsParts) {}

  /**
   * Records that a target leaves.
   *
   * @param source - `own`, or the peer that tells it
   * @returns whether this is news
   */
  public record({ target, bornAt }: LeavingTarget, source: string): boolean {
    if (this.includes(target, bornAt)) return false;
    const knownSince = this.parts.clock.now();
    this.forgetOld(knownSince);
    this.processes.set(target, { bornAt, knownSince });
    this.parts.counters.add('targets_leaving', source === 'own' ? 'stated' : 'told');
    this.parts.logger.info('target-leaving', { target, source });
    return true;
  }

  /** Whether the process of a target that started at `bornAt` is leaving. */
  public includes(target: string, bornAt: number): boolean {
    const known = this.processes.get(target);
    return known !== undefined && bornAt <= known.bornAt;
  }

  /** Those that were learned of recently, for peers. */
  public reports(): readonly LeavingTarget[] {
    const oldest = this.parts.clock.now() - REPORT_MILLISECONDS;
    return [...this.processes]
      .filter(([, { knownSince }]) => knownSince > oldest)
      .map(([target, { bornAt }]) => ({ target, bornAt }));
  }

  private forgetOld(now: number): void {
    [...this.processes]
      .filter(([, { knownSince }]) => now - knownSince > RETENTION_MILLISECONDS)
      .forEach(([target]) => this.processes.delete(target));
  }
}
