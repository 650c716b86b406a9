/** The configuration in force and the registry of targets, as one daemon holds them. */
import type { Clock, Logger } from '@cactusrun/core';
import { describeError } from '@cactusrun/core';
import ConfigurationRefusedError from './ConfigurationRefusedError.js';
import type { GatewayConfiguration } from './GatewayConfiguration.js';
import type { StorePosition } from './GatewayStore.js';
import type { KnownVersions, PeerAddress } from '../fleet/PeerMessage.js';
import RefusedDocuments from './RefusedDocuments.js';
import StoreContact from './StoreContact.js';
import type { TargetChange, TargetEntry } from './TargetEntry.js';
import type TargetTable from './TargetTable.js';

/** The whole state, as one daemon sends it to another. */
export interface StateSnapshot {
  /** The configuration as the operator wrote it. */
  readonly document: string | undefined;
  readonly targets: readonly TargetEntry[];
  readonly versions: KnownVersions;
  readonly peers: readonly PeerAddress[];
}

const NO_VERSION = -1;

export default class GatewayState {
  private activeConfiguration: GatewayConfiguration | undefined;

  private activeDocument: string | undefined;

  private registryPosition: StorePosition = NO_VERSION;

  /** Position up to which targets that joined are known; removals before it may be held back. */
  private presencesPosition: StorePosition = NO_VERSION;

  /** Contact of the fleet with the store, which confirms this state. */
  public readonly storeContact: StoreContact;

  /** Resolve the promises that wait until requests can be served. */
  private waiters: (() => void)[] = [];

  private readonly refused = new RefusedDocuments();

  constructor(
    private readonly decode: (document: string) => GatewayConfiguration,
    private readonly targets: TargetTable,
    clock: Clock,
    private readonly logger: Logger,
    private readonly onTargetsChanged: (changes: readonly TargetChange[]) => void,
  ) {
    this.storeContact = new StoreContact(clock);
  }

  public get configuration(): GatewayConfiguration | undefined {
    return this.activeConfiguration;
  }

  public get document(): string | undefined {
    return this.activeDocument;
  }

  /** Position in the registry up to which all changes are applied, removals included. */
  public get position(): StorePosition {
    return this.registryPosition;
  }

  /** Whether requests can be served. */
  public get isComplete(): boolean {
    return this.activeConfiguration !== undefined && this.registryPosition !== NO_VERSION;
  }

  /** Whether requests cannot be served because no document that was provided can be decoded. */
  public get lacksUsableDocument(): boolean {
    return this.activeConfiguration === undefined && !this.refused.isEmpty;
  }

  /** Whether a document that states this version could not be decoded. */
  public hasRefused(version: number): boolean {
    return this.refused.hasVersion(version);
  }

  /** Resolves once requests can be served. */
  public async whenComplete(): Promise<void> {
    if (this.isComplete) return;
    await new Promise<void>((resolve) => {
      this.waiters.push(resolve);
    });
  }

  public versions(): KnownVersions {
    return {
      configuration: this.activeConfiguration?.version ?? NO_VERSION,
      targets: this.registryPosition,
      ageMilliseconds: Math.min(1e9, Math.round(this.storeContact.ageMilliseconds)),
    };
  }

  /** Records that the store confirmed this state so long ago, directly or through a peer. */
  public confirm(ageMilliseconds: number): void {
    this.storeContact.record(ageMilliseconds);
  }

  /**
   * Applies a configuration if it is newer; one that cannot be decoded changes nothing and is logged
   * once.
   */
  public applyDocument(document: string, source: string): void {
    if (this.refused.has(document)) return;
    const configuration = this.tryDecode(document, source);
    if (configuration === undefined) return;
    const before = this.activeConfiguration?.version ?? NO_VERSION;
    if (configuration.version <= before) return;
    this.activeConfiguration = configuration;
    this.activeDocument = document;
    this.resolveWaiters();
    this.logger.info('configuration-in-force', {
      version: configuration.version,
      before,
      source,
    });
  }

  /** Replaces the registry with a snapshot of the store, unless the snapshot is older. */
  public replaceTargets(
    entries: readonly TargetEntry[],
    position: StorePosition,
    source: string,
  ): readonly TargetChange[] {
    if (position < this.registryPosition) return [];
    return this.changeTargets(this.targets.replace(entries), position, source);
  }

  /**
   * Takes over the registry of a peer. It removes targets only if it is of a later position than all
   * that this daemon has applied; the peer may not have heard of the others yet.
   */
  public adoptTargets(
    entries: readonly TargetEntry[],
    position: StorePosition,
    peer: string,
  ): void {
    if (position < this.registryPosition) return;
    const isLater = position > this.registryPosition && position >= this.presencesPosition;
    if (isLater) this.replaceTargets(entries, position, peer);
    else this.addTargets(entries.map(toPresence), position, peer);
  }

  /** Applies changes that follow the current position; returns those that had an effect. */
  public applyChanges(
    changes: readonly TargetChange[],
    position: StorePosition,
    source: string,
  ): readonly TargetChange[] {
    if (position < this.registryPosition) return [];
    return this.changeTargets(this.targets.apply(changes), position, source);
  }

  /**
   * Applies the entries among changes, and holds the removals back: the position stays, so that they
   * are read again. Returns the changes that had an effect.
   */
  public addTargets(
    changes: readonly TargetChange[],
    position: StorePosition,
    source: string,
  ): readonly TargetChange[] {
    if (position < this.registryPosition) return [];
    this.presencesPosition = Math.max(this.presencesPosition, position);
    const presences = changes.filter(({ kind }) => kind === 'present');
    return this.changeTargets(this.targets.apply(presences), this.registryPosition, source);
  }

  public snapshot(peers: readonly PeerAddress[]): StateSnapshot {
    return {
      document: this.activeDocument,
      targets: this.targets.list(),
      versions: this.versions(),
      peers,
    };
  }

  private changeTargets(
    effective: readonly TargetChange[],
    position: StorePosition,
    source: string,
  ): readonly TargetChange[] {
    this.registryPosition = position;
    this.resolveWaiters();
    if (effective.length === 0) return effective;
    this.logger.info('targets-changed', {
      position,
      source,
      changed: effective.length,
      targets: this.targets.size,
    });
    this.onTargetsChanged(effective);
    return effective;
  }

  private resolveWaiters(): void {
    if (!this.isComplete) return;
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach((resolve) => resolve());
  }

  private tryDecode(document: string, source: string): GatewayConfiguration | undefined {
    try {
      return this.decode(document);
    } catch (error) {
      const version = error instanceof ConfigurationRefusedError ? error.version : undefined;
      this.refused.add(document, version);
      this.logger.warn('configuration-not-understood', {
        version,
        inForce: this.activeConfiguration?.version,
        source,
        cause: describeError(error),
      });
      return undefined;
    }
  }
}

function toPresence(entry: TargetEntry): TargetChange {
  return { kind: 'present', entry };
}
