/**
 * Targets that this daemon cannot connect to while its peers get answers from them. A daemon that lost
 * most targets of a service, but not all targets, would crowd the few that it still reaches; its
 * requests to that service are better sent by a peer. Targets that nobody reaches do not count: a peer
 * could not reach them either.
 */
import type { Clock, Counters, Logger, Stop } from '@cactusrun/core';
import { startRepeatedTask } from '@cactusrun/core';
import type { TargetEntry } from '../state/TargetEntry.js';

/** Share of a service's targets from which it counts as lost. */
const LOST_SHARE = 0.5;
/** An answer to a peer shows that a target is up if it is at most this much older than the failure. */
const PEER_ANSWER_MILLISECONDS = 1_000;
/** A failure is forgotten after this long, so that a link which healed unnoticed is tried again. */
const RETENTION_MILLISECONDS = 6_000;
/** Pause between two tries to connect to lost targets, one of each service. */
const TRY_INTERVAL_MILLISECONDS = 500;

/** What is known of the way to one target; monotonic times. */
interface Path {
  readonly failedAt: number;
  readonly peerAnsweredAt: number;
}

const UNTRIED: Path = {
  failedAt: Number.NEGATIVE_INFINITY,
  peerAnsweredAt: Number.NEGATIVE_INFINITY,
};

export interface LostTargetsParts {
  readonly targets: {
    list(): readonly TargetEntry[];
    usable(service: string): readonly { readonly entry: TargetEntry }[];
  };
  /** Tests whether a connection to a target can be established. */
  readonly probe: (target: TargetEntry) => Promise<boolean>;
  readonly clock: Clock;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class LostTargets {
  private readonly paths = new Map<string, Path>();

  private lostServices: ReadonlySet<string> = new Set();

  constructor(private readonly parts: LostTargetsParts) {}

  /** Records that this daemon could not connect to a target. */
  public recordFailure(target: string): void {
    this.paths.set(target, { ...this.pathOf(target), failedAt: this.parts.clock.now() });
  }

  /** Records that this daemon reached a target. */
  public recordReached(target: string): void {
    this.paths.delete(target);
  }

  /** Records that a peer got an answer from a target. */
  public recordPeerAnswer(target: string): void {
    this.paths.set(target, { ...this.pathOf(target), peerAnsweredAt: this.parts.clock.now() });
  }

  public forget(target: string): void {
    this.paths.delete(target);
  }

  /** Whether this daemon lost most targets of a service, and peers reach them. */
  public hasLostMost(service: string): boolean {
    const all = this.parts.targets.usable(service);
    const lost = all.filter(({ entry }) => this.isLost(entry.id));
    const hasLost = lost.length > all.length * LOST_SHARE;
    this.noteChange(service, hasLost, lost.length);
    return hasLost;
  }

  /** Tries lost targets in intervals until the returned function is called. */
  public start(): Stop {
    const { clock, logger } = this.parts;
    const step = async (signal: AbortSignal) => {
      await clock.sleep(TRY_INTERVAL_MILLISECONDS, signal);
      await this.tryLost();
    };
    return startRepeatedTask({ name: 'lost targets', step, clock, logger });
  }

  /** Tries one target of each service that has lost ones, the one that failed longest ago. */
  private async tryLost(): Promise<void> {
    const lost = this.parts.targets.list().filter(({ id }) => this.isLost(id));
    const services = [...new Set(lost.map(({ service }) => service))];
    const oldestOf = (name: string) =>
      lost
        .filter(({ service }) => service === name)
        .reduce((oldest, next) =>
          this.pathOf(next.id).failedAt < this.pathOf(oldest.id).failedAt ? next : oldest,
        );
    await Promise.all(services.map((service) => this.tryTarget(oldestOf(service))));
  }

  private async tryTarget(target: TargetEntry): Promise<void> {
    const isReached = await this.parts.probe(target);
    if (isReached) this.recordReached(target.id);
    else this.recordFailure(target.id);
  }

  private isLost(target: string): boolean {
    const { failedAt, peerAnsweredAt } = this.pathOf(target);
    return (
      this.parts.clock.now() - failedAt < RETENTION_MILLISECONDS &&
      peerAnsweredAt > failedAt - PEER_ANSWER_MILLISECONDS
    );
  }

  private pathOf(target: string): Path {
    return this.paths.get(target) ?? UNTRIED;
  }

  private noteChange(service: string, hasLost: boolean, targets: number): void {
    if (this.lostServices.has(service) === hasLost) return;
    const others = [...this.lostServices].filter((name) => name !== service);
    this.lostServices = new Set(hasLost ? [...others, service] : others);
    this.parts.counters.add('reachability', hasLost ? 'service-lost' : 'service-regained');
    this.parts.logger.warn(hasLost ? 'service-lost' : 'service-regained', { service, targets });
  }
}
