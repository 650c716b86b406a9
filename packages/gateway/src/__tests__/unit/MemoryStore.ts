/** A store in memory for tests, whose registry is a list of changes. */
import { CactusrunError } from '@cactusrun/core';
import type { GatewayStore, TargetPage } from '../../state/GatewayStore.js';
import type { TargetChange } from '../../state/TargetEntry.js';

/** Positions of a restored store follow all those before. */
export const POSITIONS_PER_RESTORATION = 1_000;

export default class MemoryStore implements GatewayStore {
  private newest = '1';

  private waiters: (() => void)[] = [];

  /** Whether answers to long polls are lost. */
  public losesAnswers = false;

  public isDown = false;

  /** Waits before a call to a store that is down fails. */
  public failAfter: () => Promise<void> = async () => {};

  /** Number of the next reads of the whole registry that fail. */
  public failingWholeReads = 0;

  public calls = 0;

  /** Number of the calls that read the registry. */
  public registryReads = 0;

  public restorations = 0;

  public log: TargetChange[] = [];

  public get document(): string {
    return this.newest;
  }

  public set document(document: string) {
    this.newest = document;
    this.waiters.forEach((wake) => wake());
    this.waiters = [];
  }

  public async readConfiguration(after: number | undefined, wait: number, signal: AbortSignal) {
    this.calls += 1;
    if (this.isDown) await this.fail();
    if (this.losesAnswers && wait > 0) return loseAnswer(signal);
    const position = Number(this.document);
    const document = after === position ? undefined : this.document;
    if (document !== undefined) return { position, document };
    if (wait === 0) return { position, document };
    await new Promise<void>((resolve) => {
      signal.addEventListener('abort', () => resolve());
      this.waiters.push(resolve);
    });
    if (signal.aborted) throw new CactusrunError('aborted', { step: 'reading', peer: 'store' });
    return { position: Number(this.document), document: this.document };
  }

  public async readTargets(after: number | undefined): Promise<TargetPage> {
    this.registryReads += 1;
    this.calls += 1;
    if (this.isDown) await this.fail();
    if (after === undefined && this.failingWholeReads > 0) {
      this.failingWholeReads -= 1;
      throw new CactusrunError('busy', { step: 'reading', peer: 'store' });
    }
    const firstPosition = this.restorations * POSITIONS_PER_RESTORATION;
    const position = firstPosition + this.log.length;
    const isRestored = after !== undefined && after < firstPosition;
    if (after !== undefined && !isRestored) {
      const changes = this.log.slice(after - firstPosition);
      return { position, isWhole: false, isRestored, changes };
    }
    const newest = new Map(
      this.log.map((change) => [change.kind === 'present' ? change.entry.id : change.id, change]),
    );
    const changes = [...newest.values()].filter(({ kind }) => kind === 'present');
    return { position, isWhole: true, isRestored, changes };
  }

  public async readPeers() {
    return [];
  }

  public writePeers() {
    return Promise.resolve();
  }

  /** Replaces the registry by an older copy. */
  public restore(copy: readonly TargetChange[]): void {
    this.restorations += 1;
    this.log = [...copy];
  }

  private async fail(): Promise<never> {
    await this.failAfter();
    throw new CactusrunError('down', { step: 'reading', peer: 'store' });
  }
}

/** A read whose answer never arrives; it ends when it is aborted. */
function loseAnswer(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) => {
    const fail = () => reject(new CactusrunError('aborted', { step: 'reading', peer: 'store' }));
    signal.addEventListener('abort', fail, { once: true });
  });
}
