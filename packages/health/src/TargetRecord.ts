/**
 * The evidence and state of one target, as seen by its keeper (the daemon through which all
 * requests to it go).
 */
import Cusum from './Cusum.js';

const FIRST_RECONNECT_DELAY_MILLISECONDS = 250;
const MAXIMUM_RECONNECT_DELAY_MILLISECONDS = 5_000;

/** Evidence from the callers of one availability zone. */
export interface ZoneEvidence {
  readonly cusum: Cusum;
  lastAnswerAt: number;
}

export default class TargetRecord {
  public readonly cusum: Cusum;

  public readonly zones = new Map<string, ZoneEvidence>();

  public isDeprioritized = false;

  public deprioritizedAt = 0;

  public restoredAt = Number.NEGATIVE_INFINITY;

  /** How often the target became unhealthy again soon after it was restored. */
  public flaps = 0;

  public lastTrialAt = Number.NEGATIVE_INFINITY;

  /** No connection is attempted before this time. */
  public reconnectAt = Number.NEGATIVE_INFINITY;

  /** The target shed a request; it is suspect until this time. */
  public shedUntil = Number.NEGATIVE_INFINITY;

  /** The target was started recently; slow answers are no evidence against it until this time. */
  public coldStartUntil: number;

  private connectFailures = 0;

  constructor(
    public readonly name: string,
    private readonly scoreCap: number,
    coldStartUntil: number,
  ) {
    this.cusum = new Cusum(scoreCap);
    this.coldStartUntil = coldStartUntil;
  }

  public zoneEvidence(name: string): ZoneEvidence {
    const existing = this.zones.get(name);
    if (existing !== undefined) return existing;
    const evidence = { cusum: new Cusum(this.scoreCap), lastAnswerAt: Number.NEGATIVE_INFINITY };
    this.zones.set(name, evidence);
    return evidence;
  }

  /** Delays the next connection; consecutive failures double the delay. */
  public recordConnectFailure(now: number): void {
    const delay = FIRST_RECONNECT_DELAY_MILLISECONDS * 2 ** this.connectFailures;
    this.reconnectAt = now + Math.min(MAXIMUM_RECONNECT_DELAY_MILLISECONDS, delay);
    this.connectFailures += 1;
  }

  public deprioritize(now: number, flapWindowMilliseconds: number): void {
    this.isDeprioritized = true;
    this.deprioritizedAt = now;
    this.lastTrialAt = now;
    this.flaps = now - this.restoredAt < flapWindowMilliseconds ? this.flaps + 1 : 0;
  }

  public restore(now: number): void {
    this.isDeprioritized = false;
    this.restoredAt = now;
  }

  /** The target answered. If connections failed before, it was restarted. */
  public endConnectFailures(coldStartUntil: number): void {
    if (this.connectFailures === 0) return;
    this.connectFailures = 0;
    this.reconnectAt = Number.NEGATIVE_INFINITY;
    this.coldStartUntil = coldStartUntil;
    this.clearEvidence();
  }

  /** Discards the evidence, which a former process or a poison request caused. */
  public clearEvidence(): void {
    this.cusum.reset();
    this.zones.forEach((zone) => zone.cusum.reset());
  }
}
