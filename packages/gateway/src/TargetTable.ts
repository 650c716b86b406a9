/** The targets of each service as the registry names them, and what is believed of each. */
import type { Clock } from '@cactusrun/core';
import EpisodeLength from './EpisodeLength.js';
import type { SickTarget } from './PeerMessage.js';
import type { SicknessRates } from './SicknessBelief.js';
import SicknessBelief from './SicknessBelief.js';
import type { TargetChange, TargetEntry } from './TargetEntry.js';

/** Peers are told of a target from this probability of sickness on. */
const TOLD_FROM_PROBABILITY = 0.7;

/** One target with what this daemon believes of it. */
export interface KnownTarget {
  readonly entry: TargetEntry;
  /** Monotonic time until which it is slow after its start. */
  readonly coldUntil: number;
  readonly belief: SicknessBelief;
  /** Monotonic time until which this daemon does not try to connect to it. */
  blockedUntil: number;
  /** Monotonic time at which the target joined the registry. */
  readonly joinedAt: number;
  /** Monotonic time at which a request was last sent to it, by any daemon. */
  usedAt: number;
}

export default class TargetTable {
  private readonly targets = new Map<string, KnownTarget>();

  private readonly lengths = new Map<string, EpisodeLength>();

  private readonly services = new Map<string, KnownTarget[]>();

  constructor(
    private readonly clock: Clock,
    private readonly rates: SicknessRates,
  ) {}

  /** Takes in changes of the registry; returns those that made a difference. */
  public apply(changes: readonly TargetChange[]): readonly TargetChange[] {
    const effective = changes.filter((change) =>
      change.kind === 'present' ? this.put(change.entry) : this.remove(change.id),
    );
    if (effective.length > 0) this.groupByService();
    return effective;
  }

  /** Replaces the whole registry; returns the changes that made a difference. */
  public replace(entries: readonly TargetEntry[]): readonly TargetChange[] {
    const named = new Set(entries.map(({ id }) => id));
    const removed = [...this.targets.keys()]
      .filter((id) => !named.has(id))
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

  /** The targets that are taken for sick. */
  public sick(): readonly SickTarget[] {
    const now = this.clock.now();
    return [...this.targets.values()].flatMap(({ entry, belief }) => {
      const since = belief.suspectedSince;
      const isSick = since !== undefined && belief.probabilityAt(now) >= TOLD_FROM_PROBABILITY;
      if (!isSick) return [];
      return [{ target: entry.id, ageMilliseconds: Math.round(now - since) }];
    });
  }

  /** Takes in what a peer takes for sick. */
  public learnSick(told: readonly SickTarget[]): void {
    const now = this.clock.now();
    told.forEach(({ target, ageMilliseconds }) => {
      this.targets.get(target)?.belief.learnSick(now, now - ageMilliseconds);
    });
  }

  public get size(): number {
    return this.targets.size;
  }

  private put(entry: TargetEntry): boolean {
    const known = this.targets.get(entry.id);
    if (known !== undefined && isSameEntry(known.entry, entry)) return false;
    const now = this.clock.now();
    const isSameStart = known !== undefined && known.entry.bornAt === entry.bornAt;
    this.targets.set(entry.id, {
      entry,
      coldUntil: now + entry.coldMilliseconds,
      belief: isSameStart ? known.belief : this.newBelief(entry.service, now),
      blockedUntil: isSameStart ? known.blockedUntil : 0,
      joinedAt: isSameStart ? known.joinedAt : now,
      usedAt: isSameStart ? known.usedAt : 0,
    });
    return true;
  }

  private newBelief(service: string, now: number): SicknessBelief {
    const length = this.lengths.get(service) ?? new EpisodeLength();
    this.lengths.set(service, length);
    return new SicknessBelief(this.rates, length, now);
  }

  private remove(id: string): boolean {
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

function isSameEntry(left: TargetEntry, right: TargetEntry): boolean {
  return (
    left.address === right.address &&
    left.service === right.service &&
    left.zone === right.zone &&
    left.slots === right.slots &&
    left.isLeaving === right.isLeaving &&
    left.bornAt === right.bornAt &&
    left.coldMilliseconds > 0 === right.coldMilliseconds > 0
  );
}
