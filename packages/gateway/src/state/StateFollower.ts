/**
 * Keeps the state of this daemon up to date with few calls to the store: the first live daemon of a
 * region reads the store and announces updates to the others; each of them reads by itself when no
 * update has arrived for a while, one after another in order of rank.
 */
import type { Clock, Random, Stop } from '@cactusrun/core';
import { mergeStops, startRepeatedTask } from '@cactusrun/core';
import ConfigurationReader from './ConfigurationReader.js';
import type { GatewayStore } from './GatewayStore.js';
import type { PeerSender } from '../fleet/PeerLink.js';
import type { KnownVersions, PeerMessage } from '../fleet/PeerMessage.js';
import type { PeerStateFetcherParts } from './PeerStateFetcher.js';
import PeerStateFetcher from './PeerStateFetcher.js';
import RefusalPacer from './RefusalPacer.js';
import RegistryReader from './RegistryReader.js';
import StoreAvailability from './StoreAvailability.js';

/** Age of the last update at which a daemon other than the first reads by itself. */
const STALE_MILLISECONDS = 1_100;
/** Additional age per rank, for the first ranks and for those behind them. */
const FIRST_RANKS = 6;
const FIRST_RANK_DELAY_MILLISECONDS = 120;
const LATER_RANK_DELAY_MILLISECONDS = 10;
const MAXIMUM_RANK_DELAY_MILLISECONDS = 1_500;
const CHECK_INTERVAL_MILLISECONDS = 100;

/** Time over which the first reads are spread when the whole fleet starts. */
const FIRST_READ_SPREAD_MILLISECONDS = 1_500;

export interface StateFollowerParts extends PeerStateFetcherParts {
  readonly store: GatewayStore;
  readonly link: PeerSender;
  readonly clock: Clock;
  readonly random: Random;
  readonly selfName: string;
  /** Whether the whole fleet starts now: first reads are spread, so that peers serve most daemons. */
  readonly isFleetStart: boolean;
}

export default class StateFollower {
  /** Monotonic time of the newest store read that another daemon announced. */
  private peerReadAt = Number.NEGATIVE_INFINITY;

  private readonly fetcher: PeerStateFetcher;

  private readonly registry: RegistryReader;

  private readonly configuration: ConfigurationReader;

  private readonly availability: StoreAvailability;

  private readonly pacer: RefusalPacer;

  /** Monotonic time at which the store is read, unless peers provide their newer configuration. */
  private catchUpAt: number | undefined;

  /** Monotonic time from which a version that could not be decoded is fetched again. */
  private refetchAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time until which the first read waits for updates from peers. */
  private firstReadAt = 0;

  constructor(private readonly parts: StateFollowerParts) {
    this.fetcher = new PeerStateFetcher(parts);
    this.registry = new RegistryReader(parts);
    this.configuration = new ConfigurationReader(parts);
    this.pacer = new RefusalPacer(parts.clock, parts.random);
    const fetchFrom = (address: string) => this.fetchFrom(address);
    this.availability = new StoreAvailability({ ...parts, fetchFrom });
  }

  public start(): Stop {
    const { logger, clock, random, isFleetStart } = this.parts;
    const spread = isFleetStart ? FIRST_READ_SPREAD_MILLISECONDS : 0;
    this.firstReadAt = clock.now() + spread * random.unit();
    return mergeStops([
      startRepeatedTask({
        name: 'registry follower',
        step: (signal) => this.followTargets(signal),
        clock,
        logger,
      }),
      startRepeatedTask({
        name: 'configuration follower',
        step: (signal) => this.followConfiguration(signal),
        clock,
        logger,
      }),
    ]);
  }

  /** Applies what a peer read from the store. */
  public applyUpdate(message: Extract<PeerMessage, { kind: 'news' }>): void {
    const { state, clock } = this.parts;
    const { versions } = message;
    this.peerReadAt = Math.max(this.peerReadAt, clock.now() - versions.ageMilliseconds);
    if (message.after === state.position) {
      state.applyChanges(message.changes, versions.targets, message.sender);
    }
    this.compareVersions(versions, message.sender);
  }

  /** Fetches the state of a peer that has newer versions than this daemon. */
  public compareVersions(versions: KnownVersions, peer: string): void {
    const { state, members } = this.parts;
    const own = state.versions();
    const isConfigurationNewer = versions.configuration > own.configuration;
    const isConfigurationUsable = isConfigurationNewer && !state.hasRefused(versions.configuration);
    if (isConfigurationUsable) this.catchUpAt ??= this.nextCatchUp();
    const isBehind = isConfigurationUsable || versions.targets > own.targets;
    if (!isBehind) {
      this.forgetCatchUp();
      if (versions.targets === own.targets) state.confirm(versions.ageMilliseconds);
    }
    if (!isBehind && !(isConfigurationNewer && this.isRefetchDue())) return;
    const address = members.get(peer)?.description.address;
    if (address !== undefined) this.fetchFrom(address).catch(() => {});
  }

  /** Fetches the whole state of a peer; a failure is logged. */
  public async fetchFrom(address: string): Promise<boolean> {
    return this.fetcher.fetchFrom(address);
  }

  /** Whether this daemon reads the store: it is the first of its region, or updates are missing. */
  private get isReader(): boolean {
    const { members, state, clock } = this.parts;
    if (state.lacksUsableDocument && state.position >= 0) {
      return this.pacer.isTakeOverDue(this.peerReadAt);
    }
    if (!state.isComplete) return clock.now() >= this.firstReadAt;
    const rank = members.rank();
    if (rank === 0) return true;
    return clock.now() - this.peerReadAt > STALE_MILLISECONDS + rankDelay(rank);
  }

  private nextCatchUp(): number {
    return this.parts.clock.now() + this.pacer.nextPause('catching-up');
  }

  private forgetCatchUp(): void {
    this.catchUpAt = undefined;
    this.pacer.reset('catching-up');
  }

  /** A version that could not be decoded may have been written anew: it is fetched now and then. */
  private isRefetchDue(): boolean {
    const now = this.parts.clock.now();
    if (now < this.refetchAt) return false;
    this.refetchAt = now + this.pacer.nextPause('fetching');
    return true;
  }

  private async followTargets(signal: AbortSignal): Promise<void> {
    const { clock, state } = this.parts;
    if (this.catchUpAt !== undefined && clock.now() > this.catchUpAt) await this.catchUp(signal);
    if (!this.isReader) {
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal);
      return;
    }
    const startedAt = clock.now();
    try {
      await this.registry.read(() => this.availability.recordSuccess(), signal);
      const pause = state.lacksUsableDocument
        ? this.pacer.nextPause('reading-targets')
        : this.registry.pauseMilliseconds;
      await clock.sleep(pause, signal);
    } catch (error) {
      if (signal.aborted) return;
      await this.availability.recover({ step: 'reading targets', startedAt, error }, signal);
    }
  }

  /** Reads the configuration that a peer announced and did not provide. */
  private async catchUp(signal: AbortSignal): Promise<void> {
    this.catchUpAt = this.nextCatchUp();
    try {
      await this.configuration.readNewest(signal);
    } catch (error) {
      if (signal.aborted) return;
      this.availability.handleFailure('reading the configuration', error);
    }
  }

  private async followConfiguration(signal: AbortSignal): Promise<void> {
    const { clock, state } = this.parts;
    if (!this.isReader) {
      this.configuration.reset();
      await clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal);
      return;
    }
    const startedAt = clock.now();
    try {
      const hasRead = await this.configuration.read(signal);
      if (hasRead) {
        this.forgetCatchUp();
        this.registry.announceVersions();
      }
      if (!state.lacksUsableDocument) return;
      await clock.sleep(this.pacer.nextPause('reading-configuration'), signal);
    } catch (error) {
      if (signal.aborted) return;
      await this.availability.recover(
        { step: 'reading the configuration', startedAt, error },
        signal,
      );
    }
  }
}

/** Spreads the daemons of a large region over time, so that the first one's read serves the rest. */
function rankDelay(rank: number): number {
  const first = Math.min(rank, FIRST_RANKS) * FIRST_RANK_DELAY_MILLISECONDS;
  const later = Math.max(0, rank - FIRST_RANKS) * LATER_RANK_DELAY_MILLISECONDS;
  return Math.min(MAXIMUM_RANK_DELAY_MILLISECONDS, first + later);
}
