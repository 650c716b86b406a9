/**
 * The part of a target's rate limit that one daemon may use. Daemons of a region count the attempts
 * of all of them against the limit, so that each may use the whole part of its region; one that does
 * not hear the others is left with its own share. Regions do not report to each other and divide the
 * limit between them: most of it belongs to the region of the target.
 */
import type EntryDirectory from '../fleet/EntryDirectory.js';
import type FleetMembers from '../fleet/FleetMembers.js';

/** Part of the limit for the region of the target; the other regions divide the rest evenly. */
const HOME_REGION_FRACTION = 0.8;

export interface RateLimitShareParts {
  readonly region: string;
  /** Region of each availability zone. */
  readonly regions: Readonly<Record<string, string>>;
  readonly members: Pick<FleetMembers, 'countLive' | 'countRecentlyLost'>;
  readonly directory: Pick<EntryDirectory, 'isEntry'>;
}

export default class RateLimitShare {
  private readonly regionCount: number;

  constructor(private readonly parts: RateLimitShareParts) {
    this.regionCount = new Set(Object.values(parts.regions)).size;
  }

  /**
   * The part of the limit of a target that this daemon may use, from 0 to 1.
   *
   * @param zone - availability zone of the target
   */
  public of(zone: string): number {
    return this.regionPart(zone) * this.ofRegion();
  }

  /**
   * The part of its region's limit that this daemon may use, from 0 to 1. A daemon that receives the
   * reports of its peers shares with those that it has lost: they may still run on the other side of
   * a partition. Any other daemon may use an equal share.
   */
  public ofRegion(): number {
    const { members, directory } = this.parts;
    const heard = members.countLive() + 1;
    const all = heard + members.countRecentlyLost();
    return (directory.isEntry() ? heard : 1) / all;
  }

  private regionPart(zone: string): number {
    if (this.regionCount <= 1) return 1;
    if (this.parts.regions[zone] === this.parts.region) return HOME_REGION_FRACTION;
    return (1 - HOME_REGION_FRACTION) / (this.regionCount - 1);
  }
}
