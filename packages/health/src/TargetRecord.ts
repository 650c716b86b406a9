/** What one keeper knows of one target. */
import Cusum from './Cusum.js';

const FIRST_RETRY_MILLISECONDS = 250;
const LONGEST_RETRY_MILLISECONDS = 5_000;

/** Evidence from the callers of one availability zone. */
export interface ZoneEvidence {
  readonly cusum: Cusum;
  lastGoodAt: number;
}

export default class TargetRecord {
  public readonly cusum: Cusum;

  public readonly zones = new Map<string, ZoneEvidence>();

  public isSteered = false;

  public steeredAt = 0;

  public returnedAt = Number.NEGATIVE_INFINITY;

  /** How often the target turned sick again soon after it had returned. */
  public flaps = 0;

  public lastTrialAt = Number.NEGATIVE_INFINITY;

  /** No connection is tried before this time. */
  public downUntil = Number.NEGATIVE_INFINITY;

  /** The target said that it is full; it is spared until this time. */
  public shedUntil = Number.NEGATIVE_INFINITY;

  /** The target was started a moment ago; slow answers do not count until this time. */
  public coldUntil: number;

  private connectFailures = 0;

  constructor(
    public readonly name: string,
    private readonly cap: number,
    coldUntil: number,
  ) {
    this.cusum = new Cusum(cap);
    this.coldUntil = coldUntil;
  }

  public zone(name: string): ZoneEvidence {
    const known = this.zones.get(name);
    if (known !== undefined) return known;
    const made = { cusum: new Cusum(this.cap), lastGoodAt: Number.NEGATIVE_INFINITY };
    this.zones.set(name, made);
    return made;
  }

  /** No connection: wait a little longer each time. */
  public noteDown(now: number): void {
    const wait = FIRST_RETRY_MILLISECONDS * 2 ** this.connectFailures;
    this.downUntil = now + Math.min(LONGEST_RETRY_MILLISECONDS, wait);
    this.connectFailures += 1;
  }

  /** Work goes elsewhere from now on. */
  public steer(now: number, flapMilliseconds: number): void {
    this.isSteered = true;
    this.steeredAt = now;
    this.lastTrialAt = now;
    this.flaps = now - this.returnedAt < flapMilliseconds ? this.flaps + 1 : 0;
  }

  /** Work comes here again. */
  public takeBack(now: number): void {
    this.isSteered = false;
    this.returnedAt = now;
  }

  /** Any sign of life after connections failed: the target was started again. */
  public noteUp(coldUntil: number): void {
    if (this.connectFailures === 0) return;
    this.connectFailures = 0;
    this.downUntil = Number.NEGATIVE_INFINITY;
    this.coldUntil = coldUntil;
    this.forgive();
  }

  /** Forgets the evidence: it came from another process or from a request's own fault. */
  public forgive(): void {
    this.cusum.reset();
    this.zones.forEach((zone) => zone.cusum.reset());
  }
}
