/** The configuration in force and the registry of targets, as one daemon holds them. */
import type { Clock, Logger } from '@cactusrun/core';
import { describeError } from '@cactusrun/core';
import type { GatewayConfiguration } from './GatewayConfiguration.js';
import type { StorePosition } from './GatewayStore.js';
import type { KnownVersions, PeerAddress } from './PeerMessage.js';
import type { TargetChange, TargetEntry } from './TargetEntry.js';
import type TargetTable from './TargetTable.js';

/** The whole state, as one daemon hands it to another. */
export interface StateCopy {
  /** The configuration as the operator wrote it. */
  readonly document: string | undefined;
  readonly targets: readonly TargetEntry[];
  readonly versions: KnownVersions;
  readonly peers: readonly PeerAddress[];
}

const NO_VERSION = -1;

export default class GatewayState {
  private inForce: GatewayConfiguration | undefined;

  private documentInForce: string | undefined;

  private targetPosition: StorePosition = NO_VERSION;

  private confirmedAt = Number.NEGATIVE_INFINITY;

  /** Called once requests can be served. */
  private waiting: (() => void)[] = [];

  constructor(
    private readonly decode: (document: string) => GatewayConfiguration,
    private readonly targets: TargetTable,
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly onTargetsChanged: (changes: readonly TargetChange[]) => void,
  ) {}

  public get configuration(): GatewayConfiguration | undefined {
    return this.inForce;
  }

  public get document(): string | undefined {
    return this.documentInForce;
  }

  public get position(): StorePosition {
    return this.targetPosition;
  }

  /** Whether requests can be served. */
  public get isComplete(): boolean {
    return this.inForce !== undefined && this.targetPosition !== NO_VERSION;
  }

  /** Resolves once requests can be served. */
  public async whenComplete(): Promise<void> {
    if (this.isComplete) return;
    await new Promise<void>((resolve) => {
      this.waiting.push(resolve);
    });
  }

  public versions(): KnownVersions {
    return {
      configuration: this.inForce?.version ?? NO_VERSION,
      targets: this.targetPosition,
      ageMilliseconds: Math.min(1e9, Math.round(this.clock.now() - this.confirmedAt)),
    };
  }

  /** The store, or a peer that heard from it this long ago, confirmed what is known here. */
  public confirm(ageMilliseconds: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, this.clock.now() - ageMilliseconds);
  }

  /** Takes a configuration if it is newer; one that cannot be understood changes nothing. */
  public takeDocument(document: string, source: string): void {
    const configuration = this.tryDecode(document, source);
    if (configuration === undefined) return;
    const before = this.inForce?.version ?? NO_VERSION;
    if (configuration.version <= before) return;
    this.inForce = configuration;
    this.documentInForce = document;
    this.releaseWaiting();
    this.logger.info('configuration-in-force', {
      version: configuration.version,
      before,
      source,
    });
  }

  /** Replaces the registry by a whole copy, unless it is older. */
  public takeTargets(
    entries: readonly TargetEntry[],
    position: StorePosition,
    source: string,
  ): readonly TargetChange[] {
    if (position < this.targetPosition) return [];
    return this.changeTargets(this.targets.replace(entries), position, source);
  }

  /** Takes changes that follow the position held here; returns those that made a difference. */
  public takeChanges(
    changes: readonly TargetChange[],
    position: StorePosition,
    source: string,
  ): readonly TargetChange[] {
    if (position < this.targetPosition) return [];
    return this.changeTargets(this.targets.apply(changes), position, source);
  }

  public copy(peers: readonly PeerAddress[]): StateCopy {
    return {
      document: this.documentInForce,
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
    this.targetPosition = position;
    this.releaseWaiting();
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

  private releaseWaiting(): void {
    if (!this.isComplete) return;
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach((release) => release());
  }

  private tryDecode(document: string, source: string): GatewayConfiguration | undefined {
    try {
      return this.decode(document);
    } catch (error) {
      this.logger.warn('configuration-not-understood', { source, cause: describeError(error) });
      return undefined;
    }
  }
}
