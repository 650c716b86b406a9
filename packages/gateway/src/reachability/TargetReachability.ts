/**
 * Whether this daemon reaches any target. A daemon that loses its links to all targets sees the same
 * as one whose targets all fail: connections that hang, are refused or reset. When in doubt, it opens
 * a connection to one target, and if that fails to several more, of other services and availability
 * zones. If all fail, the daemon itself is cut off, and tries again until a connection succeeds.
 *
 * What it observed meanwhile says nothing about the targets. Failures without an answer therefore
 * count only once a target was reached afterwards, and are dropped if the daemon turns out to be cut
 * off.
 */
import type { Clock, Counters, Logger, Random, Stop } from '@cactusrun/core';
import { describeError, shuffle, startRepeatedTask } from '@cactusrun/core';
import type { OpenConnection } from '../connections/openConnection.js';
import type { TargetEntry } from '../state/TargetEntry.js';
import pickSpread from './pickSpread.js';
import probeTarget from './probeTarget.js';

/** Pause between two checks while cut off: how long a healed link may go unnoticed. */
const CHECK_INTERVAL_MILLISECONDS = 250;
/** Pause between two looks at whether callers are directed here. */
const ENTRY_INTERVAL_MILLISECONDS = 600;
/** Shortest time between two checks for doubts while targets are reached. */
const DOUBT_PAUSE_MILLISECONDS = 500;
/** Time after a failure in which a contact makes a check needless. */
const CONFIRMATION_MILLISECONDS = 100;
/** Targets that must be unreachable, besides the first one, for the daemon to count as cut off. */
const CONFIRMING_TARGETS = 8;

/** How a target was reached: a new connection was established, or it answered. */
export type ContactKind = 'connection' | 'answer';

/** Called when the daemon is cut off from all targets, and when it reaches them again. */
export type ReachabilityListener = (isCutOff: boolean) => void;

interface Claim {
  /** The weakest contact that confirms it. */
  readonly confirmedBy: ContactKind;
  readonly apply: () => void;
}

export interface TargetReachabilityParts {
  readonly targets: { list(): readonly TargetEntry[] };
  readonly openConnection: OpenConnection;
  /** Whether callers are directed to this daemon. */
  readonly isEntry: () => boolean;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly logger: Logger;
}

export default class TargetReachability {
  private isUnreachable = false;

  private readonly lastContactAt: Record<ContactKind, number> = {
    connection: Number.NEGATIVE_INFINITY,
    answer: Number.NEGATIVE_INFINITY,
  };

  private lastCheckAt = Number.NEGATIVE_INFINITY;

  private isChecking = false;

  private claims: readonly Claim[] = [];

  private readonly listeners = new Set<ReachabilityListener>();

  constructor(private readonly parts: TargetReachabilityParts) {}

  /** Whether this daemon reaches no target. */
  public get isCutOff(): boolean {
    return this.isUnreachable;
  }

  /** Opens a connection to a target and observes whether it is established. */
  public readonly openConnection: OpenConnection = (host, port) => {
    this.parts.counters.add('target_connections', 'opened');
    const socket = this.parts.openConnection(host, port);
    socket.once('connect', () => this.recordContact('connection'));
    return socket;
  };

  /** Records that a target was reached. */
  public recordContact(kind: ContactKind): void {
    this.lastContactAt[kind] = this.parts.clock.now();
    // Open connections may outlive the ability to open new ones.
    if (kind === 'connection') this.setCutOff(false);
    const confirmed = this.claims.filter((claim) => confirms(kind, claim));
    this.claims = this.claims.filter((claim) => !confirms(kind, claim));
    confirmed.forEach(({ apply }) => apply());
  }

  /** Whether a connection to any target has been established since the monotonic time. */
  public hasConnectedSince(time: number): boolean {
    return this.lastContactAt.connection >= time;
  }

  /** Whether any target has answered or accepted a connection since the monotonic time. */
  public hasHeardSince(time: number): boolean {
    return Math.max(this.lastContactAt.connection, this.lastContactAt.answer) >= time;
  }

  /** Checks whether targets are reachable if none has been heard since the monotonic time. */
  public checkUnlessHeardSince(time: number): void {
    if (!this.hasHeardSince(time)) this.doubt();
  }

  /**
   * Records a failure that may be the fault of this daemon's links.
   *
   * @param apply - called when a target is reached afterwards, which shows that the links work
   */
  public confirmFailure(confirmedBy: ContactKind, apply: () => void): void {
    if (this.isUnreachable) return;
    const claim = { confirmedBy, apply };
    this.claims = [...this.claims, claim];
    const { clock } = this.parts;
    const untilNextCheck = this.lastCheckAt + DOUBT_PAUSE_MILLISECONDS - clock.now();
    clock.after(Math.max(CONFIRMATION_MILLISECONDS, untilNextCheck), () => {
      if (this.claims.includes(claim)) this.doubt();
    });
  }

  /** Calls the listener at each change until the returned function is called. */
  public subscribe(listener: ReachabilityListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Checks in intervals while this daemon is cut off, and once when callers begin to be directed to
   * it. The returned function ends that.
   */
  public start(): Stop {
    const { clock, isEntry, logger } = this.parts;
    let wasEntry = false;
    const step = async (signal: AbortSignal) => {
      const hasBecomeEntry = isEntry() && !wasEntry;
      wasEntry = isEntry();
      if (hasBecomeEntry || this.isUnreachable) await this.check();
      const pause = this.isUnreachable ? CHECK_INTERVAL_MILLISECONDS : ENTRY_INTERVAL_MILLISECONDS;
      await clock.sleep(pause, signal);
    };
    return startRepeatedTask({ name: 'target reachability', step, clock, logger });
  }

  private doubt(): void {
    const { clock } = this.parts;
    const hasCheckedLately = clock.now() - this.lastCheckAt < DOUBT_PAUSE_MILLISECONDS;
    if (this.isChecking || hasCheckedLately) return;
    this.check().catch((error: unknown) => {
      this.parts.logger.warn('reachability-check-failed', { cause: describeError(error) });
    });
  }

  /** Tries one target, and several others if it is not reached. */
  private async check(): Promise<void> {
    if (this.isChecking) return;
    this.isChecking = true;
    this.parts.counters.add('reachability', 'checked');
    try {
      if (!(await this.reachesTargets())) this.setCutOff(true);
    } finally {
      this.isChecking = false;
      this.lastCheckAt = this.parts.clock.now();
    }
  }

  private async reachesTargets(): Promise<boolean> {
    const { targets, random } = this.parts;
    const [first, ...others] = pickSpread(shuffle(random, targets.list()), CONFIRMING_TARGETS + 1);
    if (first === undefined || (await this.probe(first))) return true;
    const areReached = await Promise.all(others.map((one) => this.probe(one)));
    return areReached.includes(true);
  }

  private probe({ address }: TargetEntry): Promise<boolean> {
    return probeTarget(address, this.openConnection, this.parts.clock);
  }

  private setCutOff(isCutOff: boolean): void {
    if (this.isUnreachable === isCutOff) return;
    this.isUnreachable = isCutOff;
    if (isCutOff) this.claims = [];
    this.parts.counters.add('reachability', isCutOff ? 'cut-off' : 'regained');
    this.parts.logger.warn(isCutOff ? 'targets-unreachable' : 'targets-reachable', {
      targets: this.parts.targets.list().length,
    });
    [...this.listeners].forEach((listener) => listener(isCutOff));
  }
}

function confirms(kind: ContactKind, { confirmedBy }: Claim): boolean {
  return kind === 'connection' || confirmedBy === 'answer';
}
