/**
 * Keeps the state of this daemon up to date at few calls to the store: the first live daemon of a
 * region reads and tells the others; each of them reads by itself when it has heard nothing for a
 * while, one after another in order of rank.
 */
import type { Clock, Logger, Random, Stop } from '@cactusrun/core';
import { describeError, mergeStops, pickOne, repeatUntilAborted, startTask } from '@cactusrun/core';
import type FleetMembers from './FleetMembers.js';
import type GatewayState from './GatewayState.js';
import type { StateCopy } from './GatewayState.js';
import type { GatewayStore, StorePosition, TargetPage } from './GatewayStore.js';
import type { PeerSender } from './PeerLink.js';
import type { KnownVersions, PeerMessage } from './PeerMessage.js';
import type { TargetChange } from './TargetEntry.js';

/** Pause between two reads of the registry, well under the time in which drains must be known. */
const READ_MILLISECONDS = 600;
/** Age of the news at which the daemon of the second rank reads by itself. */
const STALE_MILLISECONDS = 1_100;
/** Further age for each further rank, and the age at which all ranks read. */
const RANK_MILLISECONDS = 120;
const LARGEST_RANK = 6;
const TICK_MILLISECONDS = 100;
/** Pause after a failed call, doubled up to the largest. */
const FAILURE_MILLISECONDS = 400;
const LARGEST_FAILURE_MILLISECONDS = 2_000;
/** Longest time that the store holds a read of the configuration: its answer may be lost. */
const CONFIGURATION_WAIT_MILLISECONDS = 900;
/** Time after which an answer that is not there is taken for lost: far hosts and a slow store. */
const LOST_ANSWER_MILLISECONDS = 600;
/** Time for entries that lapsed while the store was away to come back. */
const RETURN_MILLISECONDS = 2_000;
/** News this old were not only late: the store was away, and removals may be lapsed entries. */
const OUTAGE_MILLISECONDS = 3_500;
/** Peers whose state is fetched at the same time. */
const LARGEST_FETCHES = 3;
/** A peer among this many that were heard last is asked while the store does not answer. */
const RECENT_PEERS = 24;
/** Time for peers to hand over a newer configuration, after which the store is read. */
const BEHIND_MILLISECONDS = 400;

/** Time over which the first reads are spread when the whole fleet starts. */
const FIRST_READ_MILLISECONDS = 1_500;

export interface StateFollowerParts {
  readonly store: GatewayStore;
  readonly state: GatewayState;
  readonly members: FleetMembers;
  readonly link: PeerSender;
  readonly fetchState: (address: string, signal: AbortSignal) => Promise<StateCopy>;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly selfName: string;
  /** Whether the whole fleet starts now: the first reads are spread, most learn from peers. */
  readonly isFleetStart: boolean;
}

export default class StateFollower {
  private configurationPosition: StorePosition | undefined;

  private failures = 0;

  /** Monotonic time of the newest read of the store by another daemon that was heard here. */
  private heardAt = Number.NEGATIVE_INFINITY;

  private readonly fetching = new Set<string>();

  /** Monotonic time since which a peer is known to know a newer configuration. */
  private behindSince: number | undefined;

  private isStoreLost = false;

  /** The answer to the last held read did not come: the next one is answered at once. */
  private isAnswerLost = false;

  /** Monotonic time until which the first read waits for what peers tell. */
  private firstReadAt = 0;

  constructor(private readonly parts: StateFollowerParts) {}

  public start(): Stop {
    const { logger, clock, random, isFleetStart } = this.parts;
    const spread = isFleetStart ? FIRST_READ_MILLISECONDS : 0;
    this.firstReadAt = clock.now() + spread * random.unit();
    const fail = (error: unknown) => logger.warn('follower-ended', { cause: describeError(error) });
    return mergeStops([
      startTask((signal) => repeatUntilAborted(signal, () => this.followTargets(signal)), fail),
      startTask(
        (signal) => repeatUntilAborted(signal, () => this.followConfiguration(signal)),
        fail,
      ),
    ]);
  }

  /** A peer told what it read from the store. */
  public hearNews(message: Extract<PeerMessage, { kind: 'news' }>): void {
    const { state, clock } = this.parts;
    const { versions } = message;
    this.heardAt = Math.max(this.heardAt, clock.now() - versions.ageMilliseconds);
    if (message.after === state.position) {
      state.takeChanges(message.changes, versions.targets, message.sender);
    }
    this.compare(versions, message.sender);
  }

  /** Fetches what a peer knows and this daemon does not. */
  public compare(versions: KnownVersions, peer: string): void {
    const { state, members } = this.parts;
    const own = state.versions();
    const isBehind = versions.configuration > own.configuration || versions.targets > own.targets;
    if (!isBehind) {
      this.behindSince = undefined;
      if (versions.targets === own.targets) state.confirm(versions.ageMilliseconds);
      return;
    }
    if (versions.configuration > own.configuration) this.behindSince ??= this.parts.clock.now();
    const address = members.get(peer)?.description.address;
    if (address !== undefined) this.fetchFrom(address).catch(() => {});
  }

  /** Fetches the whole state of a peer; a failure is logged. */
  public async fetchFrom(address: string): Promise<boolean> {
    if (this.fetching.has(address) || this.fetching.size >= LARGEST_FETCHES) return false;
    this.fetching.add(address);
    const { state, members, logger, fetchState } = this.parts;
    try {
      const copy = await fetchState(address, new AbortController().signal);
      if (copy.document !== undefined) state.takeDocument(copy.document, address);
      if (copy.versions.targets >= 0) {
        state.takeTargets(copy.targets, copy.versions.targets, address);
        state.confirm(copy.versions.ageMilliseconds);
      }
      members.remember(copy.peers);
      return true;
    } catch (error) {
      logger.warn('peer-state-not-fetched', { peer: address, cause: describeError(error) });
      return false;
    } finally {
      this.fetching.delete(address);
    }
  }

  /** Whether this daemon reads the store: for all as the first, or as nothing is heard of it. */
  private get isReader(): boolean {
    const { members, state, clock } = this.parts;
    if (!state.isComplete) return clock.now() >= this.firstReadAt;
    const rank = members.rank();
    if (rank === 0) return true;
    const patience = STALE_MILLISECONDS + Math.min(rank, LARGEST_RANK) * RANK_MILLISECONDS;
    return clock.now() - this.heardAt > patience;
  }

  private get isBehind(): boolean {
    if (this.behindSince === undefined) return false;
    return this.parts.clock.now() - this.behindSince > BEHIND_MILLISECONDS;
  }

  private async followTargets(signal: AbortSignal): Promise<void> {
    const { clock } = this.parts;
    if (this.isBehind) await this.catchUp(signal);
    if (!this.isReader) {
      await clock.sleep(TICK_MILLISECONDS, signal);
      return;
    }
    const isDone = await this.readTargets(signal);
    await clock.sleep(isDone ? READ_MILLISECONDS : this.pauseAfterFailure(), signal);
  }

  /** Reads the configuration that a peer knows of and has not handed over. */
  private async catchUp(signal: AbortSignal): Promise<void> {
    const { store, state } = this.parts;
    this.behindSince = this.parts.clock.now();
    try {
      const { document } = await store.readConfiguration(undefined, 0, signal);
      if (document !== undefined) state.takeDocument(document, 'store');
    } catch (error) {
      if (!signal.aborted) await this.noteFailure('reading the configuration', error);
    }
  }

  private async readTargets(signal: AbortSignal): Promise<boolean> {
    const { store, state, clock } = this.parts;
    try {
      const position = state.position < 0 ? undefined : state.position;
      const wasAway =
        position !== undefined && state.versions().ageMilliseconds > OUTAGE_MILLISECONDS;
      const page = await store.readTargets(position, signal);
      this.noteSuccess();
      if (!wasAway) {
        this.takePage(page);
        return true;
      }
      this.takePage({ ...page, isWhole: false, changes: page.changes.filter(isPresence) });
      await clock.sleep(RETURN_MILLISECONDS, signal);
      this.takePage(await store.readTargets(undefined, signal));
      return true;
    } catch (error) {
      if (!signal.aborted) await this.noteFailure('reading targets', error);
      return false;
    }
  }

  private takePage(page: TargetPage): void {
    const { state, members, link, selfName } = this.parts;
    const after = state.position;
    const effective = page.isWhole
      ? state.takeTargets(
          page.changes.flatMap((change) => (change.kind === 'present' ? [change.entry] : [])),
          page.position,
          'store',
        )
      : state.takeChanges(page.changes, page.position, 'store');
    state.confirm(0);
    const news = { kind: 'news', sender: selfName, versions: state.versions(), after } as const;
    const isSent = link.send(members.liveAddresses(), { ...news, changes: effective });
    if (!isSent) link.send(members.liveAddresses(), { ...news, after: -1, changes: [] });
  }

  private async followConfiguration(signal: AbortSignal): Promise<void> {
    const { clock, state, store } = this.parts;
    if (!this.isReader) {
      this.configurationPosition = undefined;
      await clock.sleep(TICK_MILLISECONDS, signal);
      return;
    }
    const isHeld = this.configurationPosition !== undefined && !this.isAnswerLost;
    const wait = isHeld ? CONFIGURATION_WAIT_MILLISECONDS : 0;
    const limit = new AbortController();
    const cancel = clock.after(wait + LOST_ANSWER_MILLISECONDS, () => {
      if (isHeld) limit.abort();
    });
    this.isAnswerLost = false;
    try {
      const both = AbortSignal.any([signal, limit.signal]);
      const page = await store.readConfiguration(this.configurationPosition, wait, both);
      cancel();
      this.configurationPosition = page.position;
      if (page.document === undefined) return;
      state.takeDocument(page.document, 'store');
      this.behindSince = undefined;
      this.tellVersions();
    } catch (error) {
      cancel();
      if (signal.aborted) return;
      if (limit.signal.aborted) {
        this.isAnswerLost = true;
        return;
      }
      await this.noteFailure('reading the configuration', error);
      await clock.sleep(this.pauseAfterFailure(), signal);
    }
  }

  private tellVersions(): void {
    const { state, members, link, selfName } = this.parts;
    const versions = state.versions();
    link.send(members.liveAddresses(), {
      kind: 'news',
      sender: selfName,
      versions,
      after: -1,
      changes: [],
    });
  }

  private noteSuccess(): void {
    this.failures = 0;
    if (!this.isStoreLost) return;
    this.isStoreLost = false;
    this.parts.logger.info('store-regained');
  }

  private async noteFailure(step: string, error: unknown): Promise<void> {
    this.failures += 1;
    if (!this.isStoreLost) {
      this.isStoreLost = true;
      this.parts.logger.warn('store-lost', { step, cause: describeError(error) });
    }
    const known = this.parts.members.known().map(({ address }) => address);
    const address = pickOne(this.parts.random, known.slice(-RECENT_PEERS));
    if (address !== undefined) await this.fetchFrom(address);
  }

  private pauseAfterFailure(): number {
    const pause = FAILURE_MILLISECONDS * 2 ** Math.min(4, this.failures - 1);
    const jitter = 0.75 + this.parts.random.unit() / 2;
    return Math.min(LARGEST_FAILURE_MILLISECONDS, pause) * jitter;
  }
}

function isPresence(change: TargetChange): boolean {
  return change.kind === 'present';
}
