/** The registered targets of each service, with the health estimate of each. */
import type { Clock } from '@cactusrun/core';
import EpisodeLength from '../health/EpisodeLength.js';
import type { UnhealthyTarget } from '../fleet/PeerMessage.js';
import type { TargetChange, TargetEntry } from './TargetEntry.js';
import { isOlderEntry } from './TargetEntry.js';
import type { HealthModelParameters } from '../health/TargetHealthEstimate.js';
import TargetHealthEstimate from '../health/TargetHealthEstimate.js';

/** A target is reported to peers as unhealthy from this probability on. */
const REPORT_PROBABILITY = 0.7;

/** Longer than the age of the copy from which the store may be restored. */
const REMOVAL_RETENTION_MILLISECONDS = 60_000;

/** The last entry of a target that was removed: what is not newer does not bring it back. */
interface RemovedTarget {
  readonly entry: TargetEntry;
  readonly removedAt: number;
}

/** A registered target and its state at this daemon. */
export interface KnownTarget {
  readonly entry: TargetEntry;
  /** Monotonic time until which the target is slow after its start. */
  readonly coldUntil: number;
  readonly healthEstimate: TargetHealthEstimate;
  /** Monotonic time until which this daemon does not connect to the target. */
  blockedUntil: number;
  /** Monotonic time at which the target joined the registry. */
  readonly joinedAt: number;
  /** Monotonic time of the last request that any daemon sent to the target. */
  usedAt: number;
}

export default class TargetTable {
  private readonly targets = new Map<string, KnownTarget>();

  private readonly removedTargets = new Map<string, RemovedTarget>();

  private readonly episodeLengths = new Map<string, EpisodeLength>();

  private readonly services = new Map<string, KnownTarget[]>();

  constructor(
    private readonly clock: Clock,
    private readonly modelParameters: HealthModelParameters,
  ) {}

  /** Applies changes of the registry; returns those that had an effect. */
  public apply(changes: readonly TargetChange[]): readonly TargetChange[] {
    const effective = withoutRevokedRemovals(changes).filter((change) =>
      change.kind === 'present' ? this.put(change.entry) : this.remove(change.id),
    );
    if (effective.length > 0) this.groupByService();
    return effective;
  }

  /** Replaces the whole registry; returns the changes that had an effect. */
  public replace(entries: readonly TargetEntry[]): readonly TargetChange[] {
    const listedIds = new Set(entries.map(({ id }) => id));
    const removed = [...this.targets.keys()]
      .filter((id) => !listedIds.has(id))
      .map((id) => ({ kind: 'removed' as const, id }));
    return this.apply([
      ...removed,
      ...entries.map((entry) => ({ kind: 'present' as const, entry })),
    ]);
  }

  public get(id: string): KnownTarget | undefined {
    return this.targets.get(id);
  }

  /** The targets of a service that may receive new requests. */
  public usable(service: string): readonly KnownTarget[] {
    return this.services.get(service) ?? [];
  }

  public list(): readonly TargetEntry[] {
    return [...this.targets.values()].map(({ entry }) => entry);
  }

  /** The targets to report to peers as unhealthy. */
  public unhealthyTargets(): readonly UnhealthyTarget[] {
    const now = this.clock.now();
    return [...this.targets.values()].flatMap(({ entry, healthEstimate }) => {
      const since = healthEstimate.suspectedSince;
      const isUnhealthy =
        since !== undefined && healthEstimate.unhealthyProbabilityAt(now) >= REPORT_PROBABILITY;
      if (!isUnhealthy) return [];
      return [{ target: entry.id, ageMilliseconds: Math.round(now - since) }];
    });
  }

  /** Applies a peer's reports of unhealthy targets. */
  public applyUnhealthyReports(reports: readonly UnhealthyTarget[]): void {
    const now = this.clock.now();
    reports.forEach(({ target, ageMilliseconds }) => {
      this.targets.get(target)?.healthEstimate.applyUnhealthyReport(now, now - ageMilliseconds);
    });
  }

  public get size(): number {
    return this.targets.size;
  }

  private put(entry: TargetEntry): boolean {
    const known = this.targets.get(entry.id);
    if (this.isOutdated(entry, known)) return false;
    if (known !== undefined && isSameEntry(known.entry, entry)) return false;
    const now = this.clock.now();
    const isSameProcess = known !== undefined && known.entry.bornAt === entry.bornAt;
    this.targets.set(entry.id, {
      entry,
      coldUntil: now + entry.coldMilliseconds,
      healthEstimate: isSameProcess
        ? known.healthEstimate
        : this.createHealthEstimate(entry.service, now),
      blockedUntil: isSameProcess ? known.blockedUntil : 0,
      joinedAt: isSameProcess ? known.joinedAt : now,
      usedAt: isSameProcess ? known.usedAt : 0,
    });
    return true;
  }

  private createHealthEstimate(service: string, now: number): TargetHealthEstimate {
    const length = this.episodeLengths.get(service) ?? new EpisodeLength();
    this.episodeLengths.set(service, length);
    return new TargetHealthEstimate(this.modelParameters, length, now);
  }

  /** Whether a newer entry of the target is known, or it was removed with this one or a newer one. */
  private isOutdated(entry: TargetEntry, known: KnownTarget | undefined): boolean {
    if (known !== undefined) return isOlderEntry(entry, known.entry);
    const removed = this.removedTargets.get(entry.id);
    return removed !== undefined && !isOlderEntry(removed.entry, entry);
  }

  private remove(id: string): boolean {
    const known = this.targets.get(id);
    if (known === undefined) return false;
    const now = this.clock.now();
    [...this.removedTargets]
      .filter(([, { removedAt }]) => now - removedAt > REMOVAL_RETENTION_MILLISECONDS)
      .forEach(([oldId]) => this.removedTargets.delete(oldId));
    this.removedTargets.set(id, { entry: known.entry, removedAt: now });
    return this.targets.delete(id);
  }

  private groupByService(): void {
    this.services.clear();
    this.targets.forEach((target) => {
      if (target.entry.isLeaving) return;
      const group = this.services.get(target.entry.service) ?? [];
      group.push(target);
      this.services.set(target.entry.service, group);
    });
  }
}

/**
 * Leaves out removals of targets that are listed again afterwards: the later entry may be known
 * already, and would then not bring its target back.
 */
function withoutRevokedRemovals(changes: readonly TargetChange[]): readonly TargetChange[] {
  const lastPresence = new Map(
    changes.flatMap((change, index) =>
      change.kind === 'present' ? [[change.entry.id, index] as const] : [],
    ),
  );
  return changes.filter(
    (change, index) => change.kind === 'present' || (lastPresence.get(change.id) ?? -1) < index,
  );
}

function isSameEntry(left: TargetEntry, right: TargetEntry): boolean {
  return (
    left.address === right.address &&
    left.service === right.service &&
    left.zone === right.zone &&
    left.slots === right.slots &&
    left.isLeaving === right.isLeaving &&
    left.bornAt === right.bornAt &&
    left.sequence === right.sequence &&
    left.coldMilliseconds > 0 === right.coldMilliseconds > 0
  );
}
