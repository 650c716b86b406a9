/** Reads the registry of targets from the store and announces what changed to the peers. */
import type { Clock } from '@cactusrun/core';
import type FleetMembers from '../fleet/FleetMembers.js';
import type { PeerSender } from '../fleet/PeerLink.js';
import type GatewayState from './GatewayState.js';
import type { GatewayStore, StorePosition, TargetPage } from './GatewayStore.js';
import { REREGISTRATION_MILLISECONDS } from './StoreContact.js';
import type { TargetChange } from './TargetEntry.js';

/** Pause between two reads, well under the time in which drains must be known. */
const READ_INTERVAL_MILLISECONDS = 600;

export interface RegistryReaderParts {
  readonly store: GatewayStore;
  readonly state: GatewayState;
  readonly members: FleetMembers;
  readonly link: PeerSender;
  readonly clock: Clock;
  readonly selfName: string;
}

export default class RegistryReader {
  /** Restorations of the store that this daemon has found out about, and when the last one was. */
  private restorations = 0;

  private restoredAt = Number.NEGATIVE_INFINITY;

  private isHoldingRemovals = false;

  constructor(private readonly parts: RegistryReaderParts) {}

  /**
   * Reads and applies what changed. Removals are held back for a while after an outage or a
   * restoration of the store, until targets have written their entries again.
   *
   * @param onAnswer - called when the store has answered
   * @throws CactusrunError when the store refuses or does not answer
   */
  public async read(onAnswer: () => void, signal: AbortSignal): Promise<void> {
    const { store, state, clock } = this.parts;
    const position = state.position < 0 ? undefined : state.position;
    const page = await store.readTargets(position, signal);
    onAnswer();
    state.confirm(0);
    if (page.isRestored) this.recordRestoration();
    const mayReturn = position !== undefined && clock.now() < this.heldUntil;
    this.isHoldingRemovals = mayReturn && removesTargets(page);
    if (this.isHoldingRemovals) this.addAndAnnounce(page);
    else this.applyAndAnnounce(page);
  }

  /** Pause until the next read; removals that are held back are read again once they may be applied. */
  public get pauseMilliseconds(): number {
    const heldMilliseconds = this.heldUntil - this.parts.clock.now();
    return this.isHoldingRemovals
      ? Math.min(READ_INTERVAL_MILLISECONDS, heldMilliseconds)
      : READ_INTERVAL_MILLISECONDS;
  }

  /** Tells the peers which versions this daemon has; those that lack them fetch its state. */
  public announceVersions(): void {
    const { state, members, link, selfName } = this.parts;
    link.send(members.liveAddresses(), {
      kind: 'news',
      sender: selfName,
      versions: state.versions(),
      after: -1,
      changes: [],
    });
  }

  /** Monotonic time until which removals are held back. */
  private get heldUntil(): number {
    const { awaitsEntriesUntil } = this.parts.state.storeContact;
    return Math.max(awaitsEntriesUntil, this.restoredAt + REREGISTRATION_MILLISECONDS);
  }

  private recordRestoration(): void {
    const { store, clock } = this.parts;
    if (store.restorations === this.restorations) return;
    this.restorations = store.restorations;
    this.restoredAt = clock.now();
  }

  private addAndAnnounce(page: TargetPage): void {
    const { state } = this.parts;
    const added = state.addTargets(page.changes, page.position, 'store');
    this.announce(state.position, added);
  }

  private applyAndAnnounce(page: TargetPage): void {
    const { state } = this.parts;
    const after = state.position;
    // A peer's state may have overtaken the answer.
    if (page.position < after) {
      this.announce(after, []);
      return;
    }
    if (!page.isWhole) {
      state.applyChanges(page.changes, page.position, 'store');
      // All of them: a peer may have missed what was announced while removals were held back.
      this.announce(after, page.changes);
      return;
    }
    const entries = page.changes.flatMap((change) =>
      change.kind === 'present' ? [change.entry] : [],
    );
    const effective = state.replaceTargets(entries, page.position, 'store');
    if (after < 0) this.announce(after, effective);
    else this.announceVersions();
  }

  private announce(after: StorePosition, changes: readonly TargetChange[]): void {
    const { state, members, link, selfName } = this.parts;
    const versions = state.versions();
    const update = { kind: 'news', sender: selfName, versions, after, changes } as const;
    const isSent = link.send(members.liveAddresses(), update);
    if (!isSent) this.announceVersions();
  }
}

/** Whether targets may be removed by the page: those that a whole registry lacks are. */
function removesTargets({ isWhole, changes }: TargetPage): boolean {
  return isWhole || changes.some(({ kind }) => kind === 'removed');
}
