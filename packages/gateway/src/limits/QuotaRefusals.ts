/**
 * Logs and counts the requests that are refused because the quota of their workspace is used up. Log
 * lines are bounded per second, and counters name only the few workspaces with the most refusals.
 */
import type { Clock, Counters, Logger } from '@cactusrun/core';

/** One refusal, with what the decision rested on. */
export interface QuotaRefusal {
  readonly workspace: string;
  readonly requestsPerSecond: number;
  readonly burst: number;
  /** Part of the rate that the daemons of this region may use, in requests a second. */
  readonly rateHere: number;
  /** Requests that may come at once here. */
  readonly capacityHere: number;
  /** Requests counted that the rate has not made up for yet. */
  readonly usedHere: number;
  /** Milliseconds since the other regions were heard. */
  readonly viewAgeMilliseconds: number;
  readonly freeInMilliseconds: number;
}

const LINES_PER_SECOND = 20;
const SECOND_MILLISECONDS = 1_000;
/** Workspaces that have a counter of their own; the others are counted together. */
const MAXIMUM_NAMED = 8;
/** Refusals from which a workspace may get one. */
const NAMED_FROM = 50;
/** Workspaces whose refusals are counted to find those. */
const MAXIMUM_CANDIDATES = 1_000;
const UNNAMED = 'others';

export default class QuotaRefusals {
  private second = 0;

  private lines = 0;

  private notLogged = 0;

  private readonly refusals = new Map<string, number>();

  private readonly named = new Set<string>();

  constructor(
    private readonly clock: Clock,
    private readonly counters: Counters,
    private readonly logger: Logger,
  ) {}

  public record(refusal: QuotaRefusal): void {
    this.count(refusal.workspace);
    const second = Math.floor(this.clock.now() / SECOND_MILLISECONDS);
    if (second !== this.second) {
      this.second = second;
      this.lines = 0;
    }
    if (this.lines >= LINES_PER_SECOND) {
      this.notLogged += 1;
      return;
    }
    this.lines += 1;
    this.logger.info('quota-used-up', {
      ...refusal,
      rateHere: round(refusal.rateHere),
      capacityHere: round(refusal.capacityHere),
      usedHere: round(refusal.usedHere),
      notLogged: this.notLogged,
    });
    this.notLogged = 0;
  }

  private count(workspace: string): void {
    const refused = (this.refusals.get(workspace) ?? 0) + 1;
    if (refused > 1 || this.refusals.size < MAXIMUM_CANDIDATES) {
      this.refusals.set(workspace, refused);
    }
    if (refused >= NAMED_FROM && this.named.size < MAXIMUM_NAMED) this.named.add(workspace);
    this.counters.add('quota_refusals', this.named.has(workspace) ? workspace : UNNAMED);
  }
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
