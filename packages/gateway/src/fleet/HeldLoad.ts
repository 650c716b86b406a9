/**
 * Holds the greatest load of each zone for a while, so that entries are added as soon as load comes
 * and let go long after it went: each change of the entries makes callers open new connections.
 */
import type { Clock } from '@cactusrun/core';

/** Time constant with which a held load falls towards the current one. */
const RELEASE_MILLISECONDS = 60_000;

interface Held {
  readonly load: number;
  readonly at: number;
}

export default class HeldLoad {
  private readonly zones = new Map<string, Held>();

  constructor(private readonly clock: Clock) {}

  /** Records the current load of a zone. */
  public record(zone: string, load: number): void {
    this.zones.set(zone, { load: Math.max(load, this.of(zone)), at: this.clock.now() });
  }

  /** The load to serve; 0 if none was recorded. */
  public of(zone: string): number {
    const held = this.zones.get(zone);
    if (held === undefined) return 0;
    return held.load * Math.exp((held.at - this.clock.now()) / RELEASE_MILLISECONDS);
  }
}
