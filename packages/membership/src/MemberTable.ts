/** The members that one daemon knows; updates arrive in any order, and only newer ones apply. */
import type { Member } from './Member.js';
import { supersedes } from './Member.js';

export type MergeResult = 'new' | 'changed' | 'refreshed' | 'older';

export default class MemberTable {
  private readonly members = new Map<string, Member>();

  public get(name: string): Member | undefined {
    return this.members.get(name);
  }

  public all(): readonly Member[] {
    return [...this.members.values()];
  }

  public get size(): number {
    return this.members.size;
  }

  /** Applies an update if it is newer than the known state. */
  public merge(update: Member): MergeResult {
    const known = this.members.get(update.host.name);
    if (known === undefined) {
      this.members.set(update.host.name, update);
      return 'new';
    }
    if (supersedes(update, known)) {
      this.members.set(update.host.name, update);
      return 'changed';
    }
    return this.refresh(known, update);
  }

  public remove(name: string): void {
    this.members.delete(name);
  }

  private refresh(known: Member, update: Member): MergeResult {
    const isSameVersion =
      update.version === known.version && update.host.incarnation === known.host.incarnation;
    const hasNewValues =
      update.configurationOffset > known.configurationOffset ||
      update.loadPercent !== known.loadPercent;
    if (!isSameVersion || !hasNewValues) return 'older';
    const { loadPercent } = update;
    const configurationOffset = Math.max(update.configurationOffset, known.configurationOffset);
    this.members.set(known.host.name, { ...known, loadPercent, configurationOffset });
    return 'refreshed';
  }
}
